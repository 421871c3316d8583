"""Only the platform package uses the wire names, and it makes no decisions."""

import ast
import re
import unittest
from pathlib import Path

_PACKAGE = Path(__file__).parents[2] / "fireflyward"
_FOLDER = _PACKAGE / "platform"
# Headers, calls and fields that only this platform uses. Names that this system's own
# interface has too, such as X-Request-Id and X-Deadline-Ms, are not included.
_WIRE_NAMES = re.compile(
    r"X-Server-Seal|X-Server-Load|X-Expect-|X-Instance-Id|X-Not-Executed"
    r"|X-Tenant|X-Kv-|X-Prompt-Prefix|X-Token-Usage|X-Cache-Salt|X-Weight-Versions"
    r"|X-Request-Priority|rows-tx|rows-get|rows-feed|rows-parts|kv-events"
    r"|kv-list|kv-free|api-keys|traffic-split|max-attempts|target-latency|gap-target"
    r"|/-/order|/-/report|/-/readyz|FIREFLYWARD_BOOT",
    re.IGNORECASE,
)
_DECIDING_PACKAGES = (
    "admin",
    "bundles",
    "feeds._follower",
    "forwarding",
    "kept",
    "leases",
    "limits",
    "membership",
    "placement",
    "replicas",
    "retries",
    "rollout",
    "routes",
    "routing",
    "runs",
    "weights",
)


class WireNameTests(unittest.TestCase):
    def test_no_other_package_contains_a_wire_name(self):
        found = []
        for path in _PACKAGE.rglob("*.py"):
            if _FOLDER in path.parents:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if _WIRE_NAMES.search(line):
                    found.append(f"{path.relative_to(_PACKAGE)}:{number}: {line}")
        self.assertEqual(found, [])

    def test_the_platform_package_imports_no_deciding_package(self):
        found = []
        for path in _FOLDER.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ImportFrom) and node.module:
                    package_name = node.module.removeprefix("fireflyward.")
                    if package_name.startswith(_DECIDING_PACKAGES):
                        found.append(f"{path.name}: {node.module}")
        self.assertEqual(found, [])
