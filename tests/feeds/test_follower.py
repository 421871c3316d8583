"""Following a table through changes, gaps, outages and copies that lag."""

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
    """Answers what it is given, and keeps what it was asked."""

    def __init__(self, clock, *answers):
        self.clock = clock
        self.answers = list(answers)
        self.asked = []
        self.takes_ms = 0

    async def rows(self, table, *, part="", limit_ms=1_000):
        self.asked.append("rows")
        return await self._next()

    async def changes(self, table, *, after, wait_ms, limit_ms):
        self.asked.append(after)
        return await self._next()

    async def _next(self):
        self.clock._now_ms += self.takes_ms
        return self.answers.pop(0)


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    def follow(self, *answers):
        self.clock = ManualClock(1_000)
        self.news = []
        self.reader = Reader(self.clock, *answers)
        return FeedFollower(
            "t",
            reader=self.reader,
            clock=self.clock,
            on_update=self.news.append,
            pace=lambda: Pace(100),
        )

    async def test_whole_first_and_changes_after(self):
        follower = self.follow(
            Snapshot((ROW,), at(4)), Changes((), at(6)), Changes((ROW,), at(9))
        )
        for _ in range(3):
            await follower.step()
        self.assertEqual(self.reader.asked, ["rows", at(4), at(6)])
        self.assertEqual([news.is_snapshot for news in self.news], [True, False, False])

    async def test_a_gap_is_read_anew(self):
        follower = self.follow(
            Snapshot((), at(4)), HistoryLost(), Snapshot((ROW,), at(20))
        )
        for _ in range(3):
            await follower.step()
        self.assertEqual(self.reader.asked, ["rows", at(4), "rows"])
        self.assertTrue(self.news[-1].is_snapshot)

    async def test_a_copy_that_lags_is_not_believed(self):
        """Symptom: a withdrawn key serves again for a second.

        The history is lost, and the table is then read from a copy of the store
        that is behind what this node has already seen.
        """
        follower = self.follow(
            Snapshot((), at(9)), HistoryLost(), Snapshot((ROW,), at(7))
        )
        await follower.step()
        await follower.step()
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            self.assertFalse(await follower.step())
        self.assertEqual(len(self.news), 1)

    async def test_age_counts_from_the_call_and_not_from_the_answer(self):
        """Symptom: a key is accepted longer after its withdrawal than promised.

        An answer with changes was made at any moment after the call; taking the
        time of its arrival would count a slow way as freshness.
        """
        follower = self.follow(
            Snapshot((), at(4)), Changes((ROW,), at(5)), Changes((), at(5))
        )
        self.reader.takes_ms = 700
        await follower.step()
        self.assertEqual(follower.as_of_ms, 1_000)
        await follower.step()
        self.assertEqual(follower.as_of_ms, 1_700)
        await follower.step()
        self.assertEqual(follower.as_of_ms, 2_400 + 100)

    async def test_an_outage_is_told_with_its_length(self):
        follower = self.follow(
            Snapshot((), at(4)), Unavailable("x"), Changes((), at(4))
        )
        await follower.step()
        self.clock._now_ms += 3_000
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            await follower.step()
        await follower.step()
        self.assertGreaterEqual(self.news[-1].unavailable_ms, 3_000)
        self.assertEqual(self.news[0].unavailable_ms, 0)
