import contextlib
import io
import unittest
from pathlib import Path

from fireflyward.__main__ import main
from fireflyward.commands._settings import reference

PAGE = Path(__file__).parents[2] / "docs" / "SETTINGS.md"


class SettingsCommandTests(unittest.TestCase):
    def test_wrong_value_exits_2_and_names_what_is_allowed(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = main(["serve", "--port", "many"])
        self.assertEqual(code, 2)
        self.assertIn("0 to 65535", errors.getvalue())

    def test_page_is_what_the_command_prints(self):
        page = PAGE.read_text().rstrip()
        self.assertEqual(page, reference().rstrip(), "run: make settings-page")
