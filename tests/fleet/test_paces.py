"""The paces at which tables are read, compared with the deployments' bounds."""

import asyncio
import unittest

from fireflyward.backing import Unavailable
from fireflyward.clock import ManualClock
from fireflyward.feeds import Changes, FeedFollower, Snapshot
from fireflyward.feeds._call_limit import MAX_OVERHEAD_MS
from fireflyward.fleet._paces import configuration_pace, replicas_pace
from fireflyward.forwarding._request_run import _CONNECT_TIMEOUT_MS
from tests.positions import at


class PaceTests(unittest.TestCase):
    def test_an_aggregator_polls_more_often_than_its_neighbours(self):
        own = configuration_pace(2_000, is_shared=True, serves_other_nodes=True)
        theirs = configuration_pace(2_000, is_shared=True, serves_other_nodes=False)
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
                lost_ms = pace.wait_ms + MAX_OVERHEAD_MS
                self.assertLess(lost_ms + 3 * pace.pause_ms, drain_ms)
            alone = replicas_pace(drain_ms, is_shared=False, serves_other_nodes=False)
            lost_ms = alone.wait_ms + MAX_OVERHEAD_MS
            self.assertLess(lost_ms + alone.pause_ms, drain_ms)


class _LosesAnswers:
    """A store that loses the answers to some of the first calls for changes."""

    def __init__(self, clock, lost_answers):
        self._clock = clock
        self._lost_answers = lost_answers

    async def rows(self, table, *, part="", limit_ms=1_000):
        return Snapshot((), at(1))

    async def changes(self, table, *, after, wait_ms, limit_ms):
        if self._lost_answers:
            self._lost_answers -= 1
            await self._clock.sleep_ms(wait_ms + limit_ms)
            return Unavailable("no response")
        await self._clock.sleep_ms(max(1, wait_ms))
        return Changes((), at(2))


class LostAnswerTests(unittest.IsolatedAsyncioTestCase):
    """A row changes just after the call whose answer is lost."""

    async def assert_read_within(self, pace, limit_ms):
        clock, updates = ManualClock(0), []
        follower = FeedFollower(
            "t",
            reader=_LosesAnswers(clock, 1),
            clock=clock,
            on_update=updates.append,
            pace=lambda: pace,
        )
        await follower.step()
        following = asyncio.create_task(follower.run())
        await clock.advance_ms(limit_ms)
        self.assertGreater(len(updates), 1)
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)

    async def test_after_a_lost_answer_there_is_time_to_open_a_connection(self):
        """Guards against a request that is chosen by an old list and sent late."""
        drain_ms = 2_000
        pace = replicas_pace(drain_ms, is_shared=False, serves_other_nodes=False)
        await self.assert_read_within(pace, drain_ms - _CONNECT_TIMEOUT_MS)

    async def test_a_configuration_is_in_force_in_time_after_a_lost_answer(self):
        """Guards against requests that are handled by an older configuration."""
        for limit_ms in (2_000, 3_000, 4_000):
            pace = configuration_pace(
                limit_ms, is_shared=False, serves_other_nodes=False
            )
            await self.assert_read_within(pace, limit_ms)
