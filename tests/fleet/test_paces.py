"""How often tables are read, against what deployments allow."""

import unittest

from fireflyward.fleet._paces import configuration_pace, replicas_pace


class PaceTests(unittest.TestCase):
    def test_an_aggregator_reads_more_often_than_its_neighbours_ask(self):
        own = configuration_pace(is_shared=True, is_for_others=True)
        theirs = configuration_pace(is_shared=True, is_for_others=False)
        self.assertLess(own.wait_ms, theirs.wait_ms)

    def test_two_hops_leave_a_second_try_within_the_drain_time(self):
        """Symptom: a replica gets requests after it said that it is leaving.

        Its word waits for the aggregator's reading and then for the neighbour's, and
        one of them may be lost.
        """
        for drain_ms in (2_000, 3_000):
            pace = replicas_pace(drain_ms, is_shared=True)
            hop_ms = pace.wait_ms + pace.pause_ms
            self.assertLess(4 * hop_ms, drain_ms)
            alone = replicas_pace(drain_ms, is_shared=False)
            self.assertLess(alone.wait_ms + alone.pause_ms, drain_ms)
