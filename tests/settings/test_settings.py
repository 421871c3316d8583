import unittest

from fireflyward.settings import SERVE_SETTINGS, Settings, load

KEYS = {"kept_key": "2f" * 32, "peer_keys": "5c" * 32}


class LoadTests(unittest.TestCase):
    def test_flag_goes_before_variable_before_default(self):
        settings = load(SERVE_SETTINGS, KEYS | {"port": "7"}, {"FIREFLYWARD_PORT": "8"})
        self.assertIsInstance(settings, Settings)
        self.assertEqual(settings["port"], 7)

    def test_every_refusal_names_setting_value_and_what_is_allowed(self):
        refused = load(SERVE_SETTINGS, {"port": "70000", "log_level": "loud"}, {})
        told = " ".join(str(item) for item in refused)
        for part in ("port", "70000", "0 to 65535", "log_level", "loud", "debug"):
            self.assertIn(part, told)

    def test_misspelt_variable_is_refused(self):
        refused = load(SERVE_SETTINGS, {}, {"FIREFLYWARD_PROT": "1"})
        self.assertIn("FIREFLYWARD_PROT", str(refused[0]))

    def test_secrets_are_never_shown(self):
        settings = load(SERVE_SETTINGS, KEYS | {"peer_keys": "ab" * 16}, {})
        self.assertNotIn("abab", str(settings.rows()) + repr(settings))
        refused = load(SERVE_SETTINGS, KEYS | {"peer_keys": "abcd"}, {})
        self.assertNotIn("abcd", str(refused[0]))

    def test_keys_have_no_default(self):
        """Symptom: anybody can compute the names of kept blocks and the ids of
        runs. Sequence: a node starts without ``kept_key``. Cause: a default of
        zeros that everybody knows."""
        refused = load(SERVE_SETTINGS, {}, {})
        self.assertEqual([item.name for item in refused], ["peer_keys", "kept_key"])
        for item in refused:
            self.assertIn("(not given)", str(item))
            self.assertIn("hexadecimal", str(item))

    def test_empty_short_zero_and_foreign_keys_are_refused(self):
        short_by_name = {"kept_key": "2f" * 31, "peer_keys": "5c" * 15}
        for name, short in short_by_name.items():
            for text in ("", short, "00" * 32, "key"):
                with self.subTest(name=name, text=text):
                    refused = load(SERVE_SETTINGS, KEYS | {name: text}, {})
                    self.assertEqual([item.name for item in refused], [name])

    def test_second_peer_key_is_held_to_the_same(self):
        for second in ("00" * 32, "5c" * 15):
            keys = f"{KEYS['peer_keys']},{second}"
            refused = load(SERVE_SETTINGS, KEYS | {"peer_keys": keys}, {})
            self.assertEqual([item.name for item in refused], ["peer_keys"])
        both = f"{KEYS['peer_keys']},{'ab' * 16}"
        settings = load(SERVE_SETTINGS, KEYS | {"peer_keys": both}, {})
        self.assertEqual(settings["peer_keys"], (b"\x5c" * 32, b"\xab" * 16))
