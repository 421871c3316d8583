"""Two instances of one node must not take each other's commits for their own."""

import asyncio
import unittest

from .test_properties import play


class WriterNameTests(unittest.TestCase):
    def test_restart_within_one_millisecond_does_not_start_a_run_twice(self):
        """Guards against a non-idempotent run that two instances of a node start.

        A node crashes and its successor starts within the same millisecond of the
        wall clock. Both get the same writer name, so the successor takes the commit
        of the first instance for its own, and both start the run.
        """
        cluster = asyncio.run(play([("node crashes", 0), ("submit", 0)], is_once=True))
        self.assertLessEqual(cluster.started(), 1)
