import contextlib
import io
import os
import unittest
from pathlib import Path
from unittest import mock

from fireflyward.__main__ import main
from fireflyward.commands._settings import reference

PAGE = Path(__file__).parents[2] / "docs" / "SETTINGS.md"


class SettingsCommandTests(unittest.TestCase):
    def test_wrong_value_exits_2_and_prints_the_allowed_values(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = main(["serve", "--port", "many"])
        self.assertEqual(code, 2)
        self.assertIn("0 to 65535", errors.getvalue())

    def test_serve_and_settings_exit_2_without_keys(self):
        for command in ("serve", "settings"):
            errors = io.StringIO()
            with (
                self.subTest(command=command),
                mock.patch.dict(os.environ, clear=True),
                mock.patch("fireflyward.daemon.serve", side_effect=AssertionError),
                contextlib.redirect_stderr(errors),
            ):
                self.assertEqual(main([command]), 2)
                for name in ("kept_key", "peer_keys"):
                    self.assertIn(f"setting {name} from", errors.getvalue())

    def test_settings_exits_0_with_both_keys_and_shows_neither(self):
        printed = io.StringIO()
        keys = {"KEPT_KEY": "2f" * 32, "PEER_KEYS": "5c" * 32}
        variables = {f"FIREFLYWARD_{name}": text for name, text in keys.items()}
        with (
            mock.patch.dict(os.environ, variables, clear=True),
            contextlib.redirect_stdout(printed),
        ):
            self.assertEqual(main(["settings"]), 0)
        self.assertIn("kept_key = (secret, set)", printed.getvalue())
        for text in keys.values():
            self.assertNotIn(text, printed.getvalue())

    def test_page_equals_the_output_of_the_command(self):
        page = PAGE.read_text().rstrip()
        self.assertEqual(page, reference().rstrip(), "run: make settings-page")
