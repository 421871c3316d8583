"""Whether freed memory returns to the system."""

import subprocess
import sys
import unittest

# Bodies are freed while small objects that were allocated after them stay.
_SCRIPT = """
import sys
from fireflyward.supervision import read_resource_use, return_freed_memory

if sys.argv[1] == "fixed":
    assert return_freed_memory()
before_mb = read_resource_use().memory_mb
for _ in range(5):
    bodies, kept = [], []
    for number in range(16):
        bodies.append(b"x" * (4 << 20))
        kept.append([bytes(600) for _ in range(100)])
    bodies.clear()
print(read_resource_use().memory_mb - before_mb)
"""
_BURST_MB = 64


class AllocatorTests(unittest.TestCase):
    def kept_mb(self, thresholds):
        process = subprocess.run(
            [sys.executable, "-c", _SCRIPT, thresholds],
            capture_output=True,
            text=True,
            check=True,
        )
        return float(process.stdout)

    def test_the_memory_of_a_burst_returns(self):
        """Guards against a node that stays as large as the largest burst of bodies."""
        self.assertLess(self.kept_mb("fixed"), _BURST_MB / 8)
