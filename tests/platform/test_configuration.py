"""Decoding of the rows that operators and replicas write."""

import json
import unittest

from fireflyward.deployment import RouteKind
from fireflyward.platform import (
    decode_configuration,
    decode_replica,
    decode_weight_target,
)
from tests.platform.json_numbers import number_paths, with_changed_number
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
MALFORMED = (
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

    def test_routes_services_and_accounts_are_decoded(self):
        configuration = self.decode()
        stream, safe, unsafe = configuration.routes
        self.assertIs(stream.kind, RouteKind.STREAM)
        self.assertTrue(stream.may_repeat)
        self.assertTrue(safe.may_repeat)
        self.assertFalse(unsafe.may_repeat)
        self.assertEqual(stream.shares[0].service, "engines")
        self.assertEqual(configuration.service_by_name["engines"].engine.slots, 4)
        self.assertEqual(configuration.accounts[0].keys, ("key-1", "key-2"))

    def test_a_stream_that_is_not_resumable_is_not_repeated(self):
        route = {**CONFIGURATION["routes"][0], "resumable": False}
        self.assertFalse(self.decode(routes=[route]).routes[0].may_repeat)

    def test_requests_of_an_unknown_kind_of_route_run_at_most_once(self):
        route = {**CONFIGURATION["routes"][1], "kind": "novel"}
        with self.assertLogs("fireflyward.platform", "WARNING"):
            configuration = self.decode(routes=[route])
        self.assertFalse(configuration.routes[0].may_repeat)

    def test_a_kv_cache_store_is_decoded(self):
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

    def test_every_number_may_have_a_fraction(self):
        """Guards against a configuration with a calculated limit that is never applied.

        Some fields accepted only integers. Versions are identifiers and stay integers.
        """
        raw = json.loads(json.dumps(CONFIGURATION))
        for where in number_paths(raw):
            if where[-1] == "version":
                continue
            with self.subTest(where=where):
                text = json.dumps(with_changed_number(raw, where, lambda n: n + 0.5))
                self.assertIsNotNone(decode_configuration(text.encode()))

    def test_shares_below_one_are_not_rounded_to_zero(self):
        """Guards against a 0.5 to 0.5 split that sends all requests to one service."""
        shares = [{"service": "a", "weight": 0.5}, {"service": "b", "weight": 0.5}]
        route = {**CONFIGURATION["routes"][1], "traffic-split": shares}
        found = self.decode(routes=[route]).routes[0].shares
        self.assertEqual([share.weight for share in found], [0.5, 0.5])

    def test_weight_of_an_account_is_decoded(self):
        accounts = [
            {"name": "a"},
            {"name": "b", "weight": 2.5},
            {"name": "c", "weight": 0},
        ]
        found = self.decode(tenants=accounts).accounts
        self.assertEqual([account.weight for account in found], [None, 2.5, 0.0])

    def test_without_accounts_no_key_is_needed(self):
        self.assertIsNone(self.decode(tenants=None).accounts)

    def test_malformed_configurations_are_rejected(self):
        for value in MALFORMED:
            with self.subTest(value=value):
                self.assertIsNone(decode_configuration(value))


class RowTests(unittest.TestCase):
    def decode(self, **changes):
        return decode_replica("i-1", json.dumps({**ENTRY, **changes}).encode())

    def test_a_replica_entry_is_decoded(self):
        entry = self.decode(state="draining", born=1_764_700_000_000)
        self.assertTrue(entry.is_leaving)
        self.assertEqual(entry.version_of("m"), 3)
        self.assertIsNone(entry.version_of("other"))
        self.assertEqual(entry.started_ms, 1_764_700_000_000)

    def test_each_incarnation_has_its_own_id(self):
        incarnation_ids = {self.decode(born=born).incarnation_id for born in (1, 2, 3)}
        self.assertEqual(len(incarnation_ids), 3)

    def test_entries_with_invalid_fields_are_rejected(self):
        """Guards against requests to an address that no replica ever had.

        Another writer wrote a malformed entry, without a state or with an unknown one,
        and the entry counted as a ready replica.
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

    def test_entries_with_a_missing_field_are_rejected(self):
        for field in ENTRY.keys() - {"models"}:
            with self.subTest(field=field):
                value = {key: item for key, item in ENTRY.items() if key != field}
                self.assertIsNone(decode_replica("i-1", json.dumps(value).encode()))

    def test_malformed_rows_are_rejected(self):
        for value in MALFORMED:
            with self.subTest(value=value):
                self.assertIsNone(decode_replica("i-1", value))
                self.assertIsNone(decode_weight_target(value))

    def test_a_weight_target_is_decoded(self):
        target = decode_weight_target(b'{"model": "m", "version": 2}')
        self.assertEqual((target.model, target.version), ("m", 2))
