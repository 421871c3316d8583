import unittest

from fireflyward.settings import SERVE_SETTINGS, Settings, load

KEYS = {"kept_key": "2f" * 32, "peer_keys": "5c" * 32}


class LoadTests(unittest.TestCase):
    def test_flag_has_priority_over_variable_and_default(self):
        settings = load(SERVE_SETTINGS, KEYS | {"port": "7"}, {"FIREFLYWARD_PORT": "8"})
        self.assertIsInstance(settings, Settings)
        self.assertEqual(settings["port"], 7)

    def test_every_error_names_the_setting_the_value_and_what_is_allowed(self):
        invalid = load(SERVE_SETTINGS, {"port": "70000", "log_level": "loud"}, {})
        messages = " ".join(str(item) for item in invalid)
        for part in ("port", "70000", "0 to 65535", "log_level", "loud", "debug"):
            self.assertIn(part, messages)

    def test_misspelt_variable_is_invalid(self):
        invalid = load(SERVE_SETTINGS, {}, {"FIREFLYWARD_PROT": "1"})
        self.assertIn("FIREFLYWARD_PROT", str(invalid[0]))

    def test_secrets_are_never_shown(self):
        settings = load(SERVE_SETTINGS, KEYS | {"peer_keys": "ab" * 16}, {})
        self.assertNotIn("abab", str(settings.rows()) + repr(settings))
        invalid = load(SERVE_SETTINGS, KEYS | {"peer_keys": "abcd"}, {})
        self.assertNotIn("abcd", str(invalid[0]))

    def test_keys_have_no_default(self):
        """Guards against names of kept blocks and run ids that anybody can compute.

        ``kept_key`` must have no default: with a default of all zeros, a node could
        start without a secret.
        """
        invalid = load(SERVE_SETTINGS, {}, {})
        self.assertEqual([item.name for item in invalid], ["peer_keys", "kept_key"])
        for item in invalid:
            self.assertIn("(not given)", str(item))
            self.assertIn("hexadecimal", str(item))

    def test_empty_short_zero_and_non_hexadecimal_keys_are_invalid(self):
        short_by_name = {"kept_key": "2f" * 31, "peer_keys": "5c" * 15}
        for name, short in short_by_name.items():
            for text in ("", short, "00" * 32, "key"):
                with self.subTest(name=name, text=text):
                    invalid = load(SERVE_SETTINGS, KEYS | {name: text}, {})
                    self.assertEqual([item.name for item in invalid], [name])

    def test_second_peer_key_is_checked_too(self):
        for second in ("00" * 32, "5c" * 15):
            keys = f"{KEYS['peer_keys']},{second}"
            invalid = load(SERVE_SETTINGS, KEYS | {"peer_keys": keys}, {})
            self.assertEqual([item.name for item in invalid], ["peer_keys"])
        both = f"{KEYS['peer_keys']},{'ab' * 16}"
        settings = load(SERVE_SETTINGS, KEYS | {"peer_keys": both}, {})
        self.assertEqual(settings["peer_keys"], (b"\x5c" * 32, b"\xab" * 16))
