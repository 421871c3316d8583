"""Rows of the operator and of replicas, decoded into facts."""

import json
import unittest

from fireflyward.deployment import RouteKind
from fireflyward.platform import (
    decode_configuration,
    decode_replica,
    decode_weight_target,
)
from tests.platform.json_numbers import changed, figures
from tests.platform_standins import CONFIGURATION

ENTRY = {
    "service": "s",
    "address": "10.0.0.2:80",
    "zone": "a",
    "version": "v9",
    "slots": 8,
    "state": "ready",
    "sequence": 4,
    "cold-remaining-ms": 0,
    "models": [{"name": "m", "version": 3, "adapters": []}],
}
FOREIGN = (
    b"",
    b"null",
    b"7",
    b"[]",
    b"{",
    b"\xff\xfe",
    b'{"service": "\xff"}',
    b'{"version": "seven"}',
    b"[" * 100_000,
)


class ConfigurationTests(unittest.TestCase):
    def decode(self, **changes):
        return decode_configuration(json.dumps({**CONFIGURATION, **changes}).encode())

    def test_routes_services_and_accounts(self):
        configuration = self.decode()
        stream, safe, unsafe = configuration.routes
        self.assertIs(stream.kind, RouteKind.STREAM)
        self.assertTrue(stream.may_repeat)
        self.assertTrue(safe.may_repeat)
        self.assertFalse(unsafe.may_repeat)
        self.assertEqual(stream.shares[0].service, "engines")
        self.assertEqual(configuration.service_by_name["engines"].engine.slots, 4)
        self.assertEqual(configuration.accounts[0].keys, ("key-1", "key-2"))

    def test_a_stream_that_may_not_be_resumed_may_not_be_repeated(self):
        route = {**CONFIGURATION["routes"][0], "resumable": False}
        self.assertFalse(self.decode(routes=[route]).routes[0].may_repeat)

    def test_an_unknown_kind_runs_once_at_most(self):
        route = {**CONFIGURATION["routes"][1], "kind": "novel"}
        with self.assertLogs("fireflyward.platform", "WARNING"):
            configuration = self.decode(routes=[route])
        self.assertFalse(configuration.routes[0].may_repeat)

    def test_a_store_of_kv_cache_is_no_service_with_replicas(self):
        store = {
            "name": "kv",
            "kv-store-addr": "10.0.0.9:80",
            "zone": "b",
            "kv-capacity-tokens": 64,
            "managed": True,
            "first_ms": 0.5,
        }
        service = self.decode(services=[store]).service_by_name["kv"]
        self.assertEqual(service.kv_store.address, "10.0.0.9:80")
        self.assertEqual(service.kv_store.first_byte_ms, 0.5)
        self.assertTrue(service.kv_store.never_evicts)

    def test_every_figure_may_have_a_fraction(self):
        """Symptom: a configuration with a worked-out limit never came into force.

        Cause: fields that took whole numbers only. Versions are names and stay whole.
        """
        raw = json.loads(json.dumps(CONFIGURATION))
        for where in figures(raw):
            if where[-1] == "version":
                continue
            with self.subTest(where=where):
                text = json.dumps(changed(raw, where, lambda n: n + 0.5))
                self.assertIsNotNone(decode_configuration(text.encode()))

    def test_shares_below_one_are_not_lost(self):
        """Symptom: a route split in halves sent all its requests to one service."""
        shares = [{"service": "a", "weight": 0.5}, {"service": "b", "weight": 0.5}]
        route = {**CONFIGURATION["routes"][1], "traffic-split": shares}
        found = self.decode(routes=[route]).routes[0].shares
        self.assertEqual([share.weight for share in found], [0.5, 0.5])

    def test_without_accounts_no_key_is_needed(self):
        self.assertIsNone(self.decode(tenants=None).accounts)

    def test_what_is_no_configuration_is_refused(self):
        for value in FOREIGN:
            with self.subTest(value=value):
                self.assertIsNone(decode_configuration(value))


class RowTests(unittest.TestCase):
    def decode(self, **changes):
        return decode_replica("i-1", json.dumps({**ENTRY, **changes}).encode())

    def test_replica(self):
        entry = self.decode(state="draining", born=1_764_700_000_000)
        self.assertTrue(entry.is_leaving)
        self.assertEqual(entry.version_of("m"), 3)
        self.assertIsNone(entry.version_of("other"))
        self.assertEqual(entry.started_ms, 1_764_700_000_000)

    def test_another_start_has_another_number(self):
        numbers = {self.decode(born=born).incarnation_id for born in (1, 2, 3)}
        self.assertEqual(len(numbers), 3)

    def test_an_entry_of_another_writer_names_no_replica(self):
        """Symptom: requests go to an address that no replica ever had.

        An entry without a state, or with one that nobody named, counted as ready.
        """
        wrong = [
            {"state": "waking"},
            {"state": 1},
            {"service": ""},
            {"service": None},
            {"address": "10.0.0.2"},
            {"address": ":80"},
            {"address": "10.0.0.2:http"},
            {"address": "10.0.0.2:0"},
            {"address": 7},
            {"zone": ["a"]},
            {"slots": "many"},
            {"slots": -1},
            {"cold-remaining-ms": "soon"},
            {"sequence": None},
            {"born": "today"},
            {"born": 1.5},
            {"models": {}},
            {"models": [{"name": "m"}]},
        ]
        for changes in wrong:
            with self.subTest(changes=changes):
                self.assertIsNone(self.decode(**changes))

    def test_an_entry_with_a_field_missing_names_no_replica(self):
        for field in ENTRY.keys() - {"models"}:
            with self.subTest(field=field):
                value = {key: item for key, item in ENTRY.items() if key != field}
                self.assertIsNone(decode_replica("i-1", json.dumps(value).encode()))

    def test_bytes_that_cannot_be_read_name_nothing(self):
        for value in FOREIGN:
            with self.subTest(value=value):
                self.assertIsNone(decode_replica("i-1", value))
                self.assertIsNone(decode_weight_target(value))

    def test_weights(self):
        target = decode_weight_target(b'{"model": "m", "version": 2}')
        self.assertEqual((target.model, target.version), ("m", 2))
