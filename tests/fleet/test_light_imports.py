"""The modules and certificate authorities that a node loads at its start."""

import subprocess
import sys
import unittest

_LOADED = """
import sys
from fireflyward.fleet._light_imports import disable_certificate_authorities
disable_certificate_authorities()
import fireflyward.fleet._process
import ssl
print(*sys.modules)
print(ssl.create_default_context().cert_store_stats()["x509"])
"""


class LightImportsTests(unittest.TestCase):
    def setUp(self):
        process = subprocess.run(
            [sys.executable, "-c", _LOADED], capture_output=True, text=True, check=True
        )
        modules, self.authorities = process.stdout.splitlines()
        self.modules = set(modules.split())

    def test_a_node_loads_neither_thrift_parsers_nor_unused_clients(self):
        """Guards against 195 nodes that need 16 s to be ready after a loss of power.

        At its start each node parsed the Thrift definitions, read the VM's certificate
        authorities and imported clients that no node of a fleet uses.
        """
        unused = {
            "fireflyward.backing._guard",
            "fireflyward.backing._http",
            "fireflyward.connections",
            "opentelemetry.sdk",
            "hypothesis",
        }
        self.assertEqual(self.modules & unused, set())
        self.assertEqual(
            [name for name in self.modules if name.endswith("_thrift")], []
        )

    def test_no_certificate_authority_is_read(self):
        self.assertEqual(self.authorities, "0")
