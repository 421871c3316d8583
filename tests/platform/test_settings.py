"""The settings file: what is read, what is refused, what is ignored."""

import json
import tempfile
import unittest
from pathlib import Path

from fireflyward.platform import BadSettings, load_settings
from tests.platform_standins import settings_text


class SettingsTests(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings"
            path.write_text(text)
            return load_settings(str(path))

    def test_fields_are_decoded_with_units(self):
        settings = self.load(settings_text("10.0.0.1:80", (8000, 8001, 7700)))
        self.assertEqual(settings.node, "entry-1")
        self.assertEqual(settings.callers_address, "127.0.0.1:8000")
        self.assertEqual(settings.bounds.grace_ms, 4_000)
        self.assertEqual(settings.store.history_ms, 20_000)

    def test_unknown_fields_are_ignored(self):
        text = settings_text("10.0.0.1:80", (1, 2, 3), novelty={"a": 1})
        self.assertEqual(self.load(text).failure_domain, "a")

    def test_a_missing_field_is_named(self):
        raw = json.loads(settings_text("10.0.0.1:80", (1, 2, 3)))
        del raw["zone"]
        with self.assertRaisesRegex(BadSettings, "zone"):
            self.load(json.dumps(raw))

    def test_a_wrong_type_is_named(self):
        text = settings_text("10.0.0.1:80", (1, 2, 3), **{"heartbeat-ms": "often"})
        with self.assertRaisesRegex(BadSettings, "heartbeat-ms"):
            self.load(text)

    def test_a_missing_file_is_named(self):
        with self.assertRaisesRegex(BadSettings, "nowhere"):
            load_settings("/nowhere/settings")
