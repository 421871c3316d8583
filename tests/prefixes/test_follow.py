"""Following a store's events, alone or by an aggregator."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.prefixes import (
    Following,
    KvEvent,
    KvUpdate,
    PartKey,
    StoreFollower,
    StoreIndex,
)

ADDRESS = "10.0.0.9:80"


def key(i):
    return PartKey("m~1", f"part-{i}")


class _Store:
    """Holds parts and numbers its events from 1 in each life."""

    def __init__(self):
        self.epoch = 1
        self.events = []
        self.is_down = False
        self.calls = 0
        self.lists = 0
        self.keeps = 1_000

    def save(self, i, tokens=100):
        self.events.append(KvEvent(key(i), tokens))

    def restart(self):
        self.epoch += 1
        self.events = []

    async def kv_events(self, address, *, since, wait_ms, limit_ms):
        self.calls += 1
        if self.is_down:
            return None
        has_gap = len(self.events) - since > self.keeps
        found = tuple(self.events[since:])
        return KvUpdate(
            self.epoch, found, len(self.events), since=since, has_gap=has_gap
        )

    async def kv_list(self, address, *, limit_ms):
        self.lists += 1
        if self.is_down:
            return None
        held = {event.key: event for event in self.events}
        whole = tuple(event for event in held.values() if event.tokens)
        return KvUpdate(self.epoch, whole, len(self.events), is_snapshot=True)


class _Node:
    def __init__(self, store, mode, clock):
        self.index = StoreIndex(ADDRESS, 100_000)
        self.mode = mode
        self.read = []
        self.follower = StoreFollower(
            self.index,
            reader=store,
            clock=clock,
            mode=lambda: self.mode,
            on_read=lambda address, news: self.read.append(news),
        )


class FollowTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.store = _Store()
        self.aggregator = _Node(self.store, Following.FOR_OTHERS, self.clock)
        self.listener = _Node(self.store, Following.FROM_AGGREGATOR, self.clock)

    async def pass_on(self):
        await self.aggregator.follower.step()
        for news in self.aggregator.read:
            self.listener.follower.hear(news)
        self.aggregator.read.clear()

    async def test_a_listener_knows_parts_without_asking(self):
        """Symptom: on 87 nodes a sixth of the shared parts are read again at once.

        Each node asked each of 19 stores only every 2.5 s, since a store lets a
        dozen callers wait, and did not know of parts that were whole by then.
        """
        await self.listener.follower.step()
        calls = self.store.calls
        self.store.save(1)
        await self.pass_on()
        self.assertTrue(self.listener.index.has(key(1)))
        self.assertEqual(self.store.calls, calls + 1)

    async def test_a_listener_that_missed_something_asks_once(self):
        """Symptom: a freed part's room counts as taken for ever on one node.

        A datagram with events was lost, and the next ones do not repeat them.
        """
        await self.listener.follower.step()
        self.store.save(1)
        await self.aggregator.follower.step()
        self.aggregator.read.clear()
        self.store.save(2)
        await self.pass_on()
        self.assertFalse(self.listener.index.has(key(2)))
        self.assertTrue(self.listener.follower._must_ask())
        await self.listener.follower.step()
        self.assertTrue(self.listener.index.has(key(1)))
        self.assertTrue(self.listener.index.has(key(2)))
        self.assertFalse(self.listener.follower._must_ask())

    async def test_whoever_asked_goes_on_with_the_aggregator_s_news(self):
        """Symptom: one domain's nodes ask every store several times a second.

        A listener that had asked by itself was a few events ahead of its aggregator.
        The news that overlapped was left out, and the next one seemed to have a gap.
        """
        await self.listener.follower.step()
        await self.aggregator.follower.step()
        self.store.save(1)
        await self.listener.follower.step()
        self.store.save(1, tokens=0)
        self.store.save(2)
        await self.pass_on()
        self.store.save(3)
        await self.pass_on()
        self.assertFalse(self.listener.follower._must_ask())
        held = [i for i in range(1, 4) if self.listener.index.has(key(i))]
        self.assertEqual(held, [2, 3])

    async def test_listeners_miss_nothing_when_the_aggregator_reads_all(self):
        """Symptom: every node asks every store several times a second.

        A hundredth of a store's events never arrive. The aggregator then reads the
        whole list, of which its neighbours heard nothing, so all of them asked too.
        """
        self.store.save(1)
        await self.aggregator.follower.step()
        await self.listener.follower.step()
        self.aggregator.read.clear()
        self.store.keeps = 1
        self.store.save(1, tokens=0)
        self.store.save(2)
        self.store.save(3)
        await self.pass_on()
        self.assertEqual(self.store.lists, 1)
        self.assertFalse(self.listener.follower._must_ask())
        held = [i for i in range(1, 4) if self.listener.index.has(key(i))]
        self.assertEqual(held, [2, 3])

    async def test_news_that_comes_twice_changes_nothing(self):
        await self.listener.follower.step()
        self.store.save(1)
        await self.aggregator.follower.step()
        (first,) = self.aggregator.read
        self.listener.follower.hear(first)
        self.store.save(1, tokens=0)
        await self.pass_on()
        self.listener.follower.hear(first)
        self.assertFalse(self.listener.index.has(key(1)))
        self.assertFalse(self.listener.follower._must_ask())

    async def test_a_listener_hears_of_a_restart(self):
        """Symptom: a prompt is answered from memory that is only half written.

        A store restarted empty; a node that did not know fetched a part that
        another was saving anew.
        """
        self.store.save(1)
        await self.listener.follower.step()
        await self.pass_on()
        self.store.restart()
        await self.pass_on()
        self.store.save(2)
        await self.pass_on()
        self.assertFalse(self.listener.index.has(key(1)))
        self.assertTrue(self.listener.index.has(key(2)))
        self.assertFalse(self.listener.index.may_save(4_199, key(3), 400))
        self.assertTrue(self.listener.index.may_save(4_850, key(3), 400))

    async def test_saves_wait_longer_than_any_listener_can_be_behind(self):
        """Symptom: a prompt is answered from memory that is only half written.

        The aggregator died with the store, and the next one has just started. A
        listener asks by itself after 1.6 s, and until then believes in parts that
        the others save anew.
        """
        self.store.save(1)
        await self.listener.follower.step()
        self.store.restart()
        await self.aggregator.follower.step()
        await self.enterAsyncContext(_Running(self.listener.follower))
        await self.clock.advance_ms(1_650)
        self.assertFalse(self.listener.index.has(key(1)))
        self.assertFalse(self.aggregator.index.may_save(1_650, key(1), 400))

    async def test_a_listener_without_an_aggregator_asks_by_itself(self):
        await self.enterAsyncContext(_Running(self.listener.follower))
        await self.clock.advance_ms(10)
        calls = self.store.calls
        await self.clock.advance_ms(3_300)
        self.assertEqual(self.store.calls, calls + 2)

    async def test_a_store_that_does_not_answer_is_not_fetched_from(self):
        self.store.save(1)
        await self.listener.follower.step()
        self.store.is_down = True
        await self.listener.follower.step()
        self.assertFalse(self.listener.index.has(key(1)))

    async def test_a_gap_in_the_store_s_own_events_reads_all(self):
        await self.aggregator.follower.step()
        self.store.keeps = 1
        self.store.save(1)
        self.store.save(2)
        await self.aggregator.follower.step()
        self.assertEqual(self.store.lists, 1)
        self.assertTrue(self.aggregator.index.has(key(1)))


class _Running:
    """Runs a follower as a task for as long as a test lasts."""

    def __init__(self, follower):
        self.follower = follower

    async def __aenter__(self):
        self.task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(0)

    async def __aexit__(self, *error):
        self.task.cancel()
