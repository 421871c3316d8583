"""Rows that no replica wrote, beside those of replicas."""

import json
import unittest

from fireflyward.platform import (
    decode_configuration,
    decode_replica,
    decode_weight_target,
)
from tests.platform_standins import CONFIGURATION

from .test_configuration import ENTRY

NO_ADDRESSES = (
    "",
    "10.0.0.2",
    "10.0.0.2:",
    "10.0.0.2:080",
    "10.0.0.2:65536",
    "10.0.0.2:99999",
    "10.0.0.2:-1",
    "10.0.0.2:+80",
    "10.0.0.2:8\u0660",
    "10.0.0.2:" + "1" * 5_000,
    "10.0.0.2:80\n",
    " 10.0.0.2:80",
    "10.0.0.2:80:80",
    "10.0.0.256:80",
    "10.0.0.02:80",
    "10.0.2:80",
    "1:80",
    "0x7f000001:80",
    "10.0.0.\u0662:80",
    "10.0.0.2\0:80",
    "h" * 300 + ":80",
    "\u00e9.example:80",
    "..:80",
    ".:80",
    "replica.example:80",
    "localhost:80",
    "[::1]:80",
    "::1:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "239.255.255.255:80",
    "255.255.255.255:80",
)
ADDRESSES = (
    "10.2.64.17:8729",
    "127.0.0.1:1",
    "172.20.0.2:65535",
    "192.168.255.255:9999",
    "240.0.0.1:10000",
    "255.255.255.254:60000",
)


class AddressTests(unittest.TestCase):
    def decode(self, **changes):
        return decode_replica("i-1", json.dumps({**ENTRY, **changes}).encode())

    def test_an_entry_without_an_ipv4_address_names_no_replica(self):
        """Guards against requests for addresses to which nothing can connect."""
        for address in NO_ADDRESSES:
            with self.subTest(address=address[:40]):
                self.assertIsNone(self.decode(address=address))

    def test_every_ipv4_address_of_a_host_names_a_replica(self):
        """Guards against a bound that refuses a sound deployment."""
        for address in ADDRESSES:
            with self.subTest(address=address):
                self.assertEqual(self.decode(address=address).address, address)


class NumberTests(unittest.TestCase):
    def decode(self, **changes):
        return decode_replica("i-1", json.dumps({**ENTRY, **changes}).encode())

    def test_an_entry_with_a_number_that_no_message_carries_names_no_replica(self):
        """Guards against numbers that fail, or mean nothing, long after the decode."""
        odd = [
            {"slots": 1e308},
            {"slots": 2**64},
            {"slots": 10**400},
            {"cold-remaining-ms": 1e308},
            {"cold-remaining-ms": 2**40},
            {"born": 2**64},
            {"born": -1},
            {"born": 10**400},
            {"sequence": -1},
            {"sequence": 2**64},
            {"models": [{"name": "m", "version": 2**70}]},
            {"models": [{"name": "m", "version": -1}]},
            {"models": [{"name": "m", "version": 3}, {"name": "n", "version": "3"}]},
            {"models": [["m", 3]]},
        ]
        for changes in odd:
            with self.subTest(changes=changes):
                self.assertIsNone(self.decode(**changes))

    def test_the_largest_numbers_in_bounds_name_a_replica(self):
        """Guards against a bound that refuses a sound deployment."""
        entry = self.decode(
            **{
                "slots": 2**31 - 1,
                "cold-remaining-ms": 2**31 - 1,
                "born": 2**63 - 1,
                "sequence": 2**63 - 1,
                "models": [{"name": "m", "version": 2**63 - 1}],
            }
        )
        self.assertEqual(entry.slots, 2**31 - 1)
        self.assertEqual(entry.version_of("m"), 2**63 - 1)


class TextTests(unittest.TestCase):
    def test_an_entry_whose_name_no_header_carries_names_no_replica(self):
        """Guards against requests that fail when their headers are encoded."""
        value = json.dumps(ENTRY).encode()
        for name in (
            "",
            " i-1",
            "i-1\n",
            "i\r\nX-Tenant: a",
            "i\0",
            "\u20ac",
            "i" * 201,
        ):
            with self.subTest(name=name[:20]):
                self.assertIsNone(decode_replica(name, value))
        for name in ("i-1", "i-7f3a91c2", "a/b:c d", "i" * 200):
            with self.subTest(name=name[:20]):
                self.assertEqual(decode_replica(name, value).incarnation, name)

    def test_long_texts_name_no_replica(self):
        """Guards against texts for which no datagram and no row key has room."""
        for field in ("service", "zone", "version"):
            for size, is_replica in ((200, True), (201, False), (100_000, False)):
                with self.subTest(field=field, size=size):
                    value = json.dumps({**ENTRY, field: "x" * size}).encode()
                    found = decode_replica("i-1", value)
                    self.assertEqual(found is not None, is_replica)

    def test_configurations_and_targets_out_of_bounds_are_rejected(self):
        """Guards against a header or a message that cannot be encoded, per request."""
        for target in (
            {"model": "m", "version": 2**70},
            {"model": "m", "version": -1},
            {"model": "m" * 201, "version": 1},
        ):
            self.assertIsNone(decode_weight_target(json.dumps(target).encode()))
        route, service = CONFIGURATION["routes"][1], CONFIGURATION["services"][0]
        odd = [
            {"version": 2**64},
            {"routes": [{**route, "timeout-ms": 1e308}]},
            {"routes": [{**route, "timeout-ms": 10**400}]},
            {"routes": [{**route, "priority": 2**60}]},
            {"services": [{**service, "cold-start-s": 1e306}]},
            {"services": [{**service, "kv-store-addr": "kv.example:80"}]},
            {"services": [{**service, "kv-store-addr": "10.0.0.9:99999"}]},
            {"limits": {"max-body-bytes": 1e300}},
            {"tenants": [{"name": "a\r\nX-Request-Priority: 0"}]},
            {"tenants": [{"name": "a", "weight": 1e308}]},
        ]
        for changes in odd:
            with self.subTest(changes=changes):
                value = json.dumps({**CONFIGURATION, **changes}).encode()
                self.assertIsNone(decode_configuration(value))
