"""The settings file: decoded, rejected and ignored fields."""

import json
import tempfile
import unittest
from pathlib import Path

from fireflyward.platform import BadSettings, IncompleteSettings, load_settings
from tests.platform.json_numbers import number_paths, with_changed_number
from tests.platform_standins import settings_text

BOUNDS = (
    "contact-ms",
    "drain-ms",
    "grace-s",
    "config-apply-ms",
    "revoke-ms",
    "retry-budget-ratio",
    "budget-window-s",
    "budget-extra",
    "lease-ms",
    "thaw-slack-ms",
    "version-ms",
    "reuse-window-s",
)


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

    def test_the_error_names_a_missing_field(self):
        raw = json.loads(settings_text("10.0.0.1:80", (1, 2, 3)))
        del raw["zone"]
        with self.assertRaisesRegex(BadSettings, "zone"):
            self.load(json.dumps(raw))

    def test_the_error_names_a_field_of_a_wrong_type(self):
        text = settings_text("10.0.0.1:80", (1, 2, 3), **{"heartbeat-ms": "often"})
        with self.assertRaisesRegex(BadSettings, "heartbeat-ms"):
            self.load(text)

    def test_every_number_may_have_a_fraction(self):
        """Guards against a deployment in which no process starts.

        Some fields accepted only integers. The deployment's bounds were calculated from
        ratios, so a bound that is an integer in other deployments was 35.8.
        """
        raw = json.loads(settings_text("10.0.0.1:80", (1, 2, 3)))
        raw["bounds"] |= dict.fromkeys(BOUNDS, 1)
        for where in number_paths(raw):
            with self.subTest(where=where):
                self.load(
                    json.dumps(with_changed_number(raw, where, lambda n: n + 0.5))
                )

    def test_no_number_may_be_text_or_negative(self):
        raw = json.loads(settings_text("10.0.0.1:80", (1, 2, 3)))
        raw["bounds"] |= dict.fromkeys(BOUNDS, 1)
        for where in number_paths(raw):
            for wrong in ("many", -1, None):
                with self.subTest(where=where, wrong=wrong):
                    text = json.dumps(
                        with_changed_number(raw, where, lambda n, to=wrong: to)
                    )
                    with self.assertRaisesRegex(BadSettings, str(where[0])):
                        self.load(text)

    def test_fractions_of_ms_and_counts_are_dropped(self):
        bounds = {"lease-ms": 2400.5, "budget-extra": 35.8, "grace-s": 2.5}
        found = self.load(settings_text("10.0.0.1:80", (1, 2, 3), bounds=bounds)).bounds
        self.assertEqual(
            (found.lease_ms, found.retry_extra, found.grace_ms), (2_400, 35, 2_500)
        )

    def test_the_error_names_an_address_or_port_that_no_socket_takes(self):
        """Guards against a process that ends with a traceback when it listens."""
        raw = json.loads(settings_text("10.0.0.1:80", (1, 2, 3)))
        odd = {
            ("ip",): ("host.example", "10.0.0", ""),
            ("listen", "front"): ("10.0.0.1", "10.0.0.1:99999", "host.example:80"),
            ("listen", "readiness"): ("10.0.0.1:x", "10.0.0.1:" + "1" * 5_000),
            ("internal-ports", 0): (70_000, 2**64),
            ("platform", "address"): ("store.example:80", "10.0.0.1:0", "0.0.0.0:80"),
            ("heartbeat-ms",): (1e300,),
        }
        for where, values in odd.items():
            for value in values:
                with self.subTest(where=where, value=value):
                    text = json.dumps(
                        with_changed_number(raw, where, lambda old, to=value: to)
                    )
                    with self.assertRaisesRegex(BadSettings, str(where[0])):
                        self.load(text)

    def test_the_error_names_a_missing_file(self):
        with self.assertRaisesRegex(BadSettings, "nowhere"):
            load_settings("/nowhere/settings")

    def test_the_error_names_a_value_with_which_no_node_can_run(self):
        """Guards against a node that starts and fails later, far from the cause."""
        limits = {"memory-mb": 0, "link-mbps": 1000.0}
        for field, value in (
            ("internal-ports", [7700, 7700]),
            ("internal-ports", [7701, 7700]),
            ("limits", limits),
            ("heartbeat-ms", 0),
        ):
            with self.subTest(field, value=value):
                text = settings_text("10.0.0.1:80", (1, 2, 3), **{field: value})
                with self.assertRaisesRegex(BadSettings, field):
                    self.load(text)

    def test_an_unfinished_write_is_told_from_a_wrong_field(self):
        """Guards against a start that ends while its settings are being written."""
        text = settings_text("10.0.0.1:80", (1, 2, 3))
        for size in (0, 1, len(text) // 2, len(text) - 1):
            with self.subTest(size=size), self.assertRaises(IncompleteSettings):
                self.load(text[:size])
        with self.assertRaises(BadSettings) as caught:
            self.load("{}")
        self.assertNotIsInstance(caught.exception, IncompleteSettings)
