"""Rows that no replica wrote, beside those of replicas."""

import json
import unittest

from fireflyward.platform import decode_replica

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
