import unittest

from fireflyward.settings import SERVE_SETTINGS, Settings, load


class LoadTests(unittest.TestCase):
    def test_flag_goes_before_variable_before_default(self):
        settings = load(SERVE_SETTINGS, {"port": "7"}, {"FIREFLYWARD_PORT": "8"})
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
        settings = load(SERVE_SETTINGS, {"peer_keys": "ab" * 16}, {})
        self.assertNotIn("abab", str(settings.rows()) + repr(settings))
        refused = load(SERVE_SETTINGS, {"peer_keys": "abcd"}, {})
        self.assertNotIn("abcd", str(refused[0]))
