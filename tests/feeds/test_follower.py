"""Following a table through changes, lost history, outages and stale answers."""

import unittest

from fireflyward.backing import Unavailable
from fireflyward.clock import ManualClock
from fireflyward.feeds import (
    Changes,
    FeedFollower,
    HistoryLost,
    Pace,
    Snapshot,
    TableRow,
)
from tests.positions import at

ROW = TableRow("k", b"1", at(4))


class Reader:
    """Returns the given answers in order, and records the calls."""

    def __init__(self, clock, *answers):
        self.clock = clock
        self.answers = list(answers)
        self.calls = []
        self.answer_delay_ms = 0

    async def rows(self, table, *, part="", limit_ms=1_000):
        self.calls.append("rows")
        return await self._next()

    async def changes(self, table, *, after, wait_ms, limit_ms):
        self.calls.append(after)
        return await self._next()

    async def _next(self):
        self.clock._now_ms += self.answer_delay_ms
        return self.answers.pop(0)


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    def follow(self, *answers):
        self.clock = ManualClock(1_000)
        self.updates = []
        self.reader = Reader(self.clock, *answers)
        return FeedFollower(
            "t",
            reader=self.reader,
            clock=self.clock,
            on_update=self.updates.append,
            pace=lambda: Pace(100),
        )

    async def test_full_read_first_and_changes_afterwards(self):
        follower = self.follow(
            Snapshot((ROW,), at(4)), Changes((), at(6)), Changes((ROW,), at(9))
        )
        for _ in range(3):
            await follower.step()
        self.assertEqual(self.reader.calls, ["rows", at(4), at(6)])
        self.assertEqual(
            [update.is_snapshot for update in self.updates], [True, False, False]
        )

    async def test_lost_history_leads_to_a_full_read(self):
        follower = self.follow(
            Snapshot((), at(4)), HistoryLost(), Snapshot((ROW,), at(20))
        )
        for _ in range(3):
            await follower.step()
        self.assertEqual(self.reader.calls, ["rows", at(4), "rows"])
        self.assertTrue(self.updates[-1].is_snapshot)

    async def test_answer_of_a_lagging_store_replica_is_rejected(self):
        """Guards against a withdrawn key that is accepted again for a second.

        The history was lost, and the full table was then read from a store replica
        that was behind the position that this node had already read.
        """
        follower = self.follow(
            Snapshot((), at(9)), HistoryLost(), Snapshot((ROW,), at(7))
        )
        await follower.step()
        await follower.step()
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            self.assertFalse(await follower.step())
        self.assertEqual(len(self.updates), 1)

    async def test_age_counts_from_the_call_and_not_from_the_answer(self):
        """Guards against a key that is accepted for too long after its withdrawal.

        The store may make an answer with changes at any time after the call. If the
        follower counted from its arrival, a slow network would make rows look newer.
        """
        follower = self.follow(
            Snapshot((), at(4)), Changes((ROW,), at(5)), Changes((), at(5))
        )
        self.reader.answer_delay_ms = 700
        await follower.step()
        self.assertEqual(follower.as_of_ms, 1_000)
        await follower.step()
        self.assertEqual(follower.as_of_ms, 1_700)
        await follower.step()
        self.assertEqual(follower.as_of_ms, 2_400 + 100)

    async def test_update_after_an_outage_includes_its_length(self):
        follower = self.follow(
            Snapshot((), at(4)), Unavailable("x"), Changes((), at(4))
        )
        await follower.step()
        self.clock._now_ms += 3_000
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            await follower.step()
        await follower.step()
        self.assertGreaterEqual(self.updates[-1].unavailable_ms, 3_000)
        self.assertEqual(self.updates[0].unavailable_ms, 0)

    async def test_an_outage_may_begin_after_the_last_accepted_call(self):
        """Guards against an outage that seems shorter by the wait of a call.

        The store answers a call that waits, although it accepts no other call any more.
        """
        follower = self.follow(
            Snapshot((), at(4)),
            Changes((ROW,), at(5)),
            Unavailable("x"),
            Changes((), at(5)),
        )
        await follower.step()
        self.reader.answer_delay_ms = 90
        await follower.step()
        self.assertEqual(follower.as_of_ms, 1_000)
        self.reader.answer_delay_ms = 10
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            await follower.step()
        await follower.step()
        self.assertEqual(self.updates[-1].unavailable_ms, 90 + 10 + 10)
