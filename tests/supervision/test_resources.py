"""What a process logs of the memory that it uses."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.supervision import MemoryWatch, read_resource_use


class MemoryWatchTests(unittest.TestCase):
    def setUp(self):
        self.watch = MemoryWatch(150, clock=ManualClock())

    def test_the_shares_of_the_limit_are_logged_once_each(self):
        """Guards against a process that is killed at its limit and leaves no line."""
        with self.assertLogs("fireflyward.process") as logs:
            for memory_mb in (60, 111, 113, 118, 120, 136, 149, 80):
                self.watch.on_size(memory_mb)
        self.assertEqual(
            [line.partition("process: ")[2] for line in logs.output],
            [
                f"{memory_mb} of 150 MB of memory in use"
                for memory_mb in (113, 136, 149, 80)
            ],
        )

    def test_this_process_uses_some_of_both(self):
        use = read_resource_use()
        self.assertGreater(use.memory_mb, 1)
        self.assertGreater(use.descriptors, 2)
