"""The paces at which tables are read, compared with the deployments' bounds."""

import unittest

from fireflyward.feeds._follower import _CALL_OVERHEAD_LIMIT_MS
from fireflyward.fleet._paces import configuration_pace, replicas_pace


class PaceTests(unittest.TestCase):
    def test_an_aggregator_polls_more_often_than_its_neighbours(self):
        own = configuration_pace(is_shared=True, serves_other_nodes=True)
        theirs = configuration_pace(is_shared=True, serves_other_nodes=False)
        self.assertLess(own.wait_ms, theirs.wait_ms)

    def test_one_lost_response_still_fits_into_the_drain_time(self):
        """Guards against requests to a replica that has announced that it is leaving.

        The announcement ends the waiting poll at the root, at the aggregator and at the
        node, and each adds its pause. At one of the three a connection has become
        silent, so its wait and the feed's limit for a call's overhead pass first.
        """
        for drain_ms in (2_000, 3_000, 4_000):
            for is_shared, serves_other_nodes in ((True, True), (True, False)):
                pace = replicas_pace(
                    drain_ms, is_shared=is_shared, serves_other_nodes=serves_other_nodes
                )
                lost_ms = pace.wait_ms + _CALL_OVERHEAD_LIMIT_MS
                self.assertLess(lost_ms + 3 * pace.pause_ms, drain_ms)
            alone = replicas_pace(drain_ms, is_shared=False, serves_other_nodes=False)
            lost_ms = alone.wait_ms + _CALL_OVERHEAD_LIMIT_MS
            self.assertLess(lost_ms + alone.pause_ms, drain_ms)
