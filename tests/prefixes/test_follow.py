"""Followers read a store's events themselves or receive them from an aggregator."""

import asyncio
import unittest

from fireflyward.clock import ManualClock, Standstills
from fireflyward.prefixes import (
    FollowMode,
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
    """Holds parts; its event numbers start again at 1 after each restart."""

    def __init__(self):
        self.epoch = 1
        self.events = []
        self.is_down = False
        self.calls = 0
        self.lists = 0
        self.max_events = 1_000

    def save(self, i, tokens=100):
        self.events.append(KvEvent(key(i), tokens))

    def restart(self):
        self.epoch += 1
        self.events = []

    async def kv_events(self, address, *, since, wait_ms, limit_ms):
        self.calls += 1
        if self.is_down:
            return None
        has_gap = len(self.events) - since > self.max_events
        found = tuple(self.events[since:])
        return KvUpdate(
            self.epoch, found, len(self.events), since=since, has_gap=has_gap
        )

    async def kv_list(self, address, *, limit_ms):
        self.lists += 1
        if self.is_down:
            return None
        held = {event.key: event for event in self.events}
        snapshot = tuple(event for event in held.values() if event.tokens)
        return KvUpdate(self.epoch, snapshot, len(self.events), is_snapshot=True)


class _Node:
    def __init__(self, store, mode, clock, **options):
        self.index = StoreIndex(ADDRESS, 100_000)
        self.mode = mode
        self.read = []
        self.follower = StoreFollower(
            self.index,
            reader=store,
            clock=clock,
            mode=lambda: self.mode,
            on_read=lambda address, update: self.read.append(update),
            **options,
        )


class FollowTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.store = _Store()
        self.aggregator = _Node(self.store, FollowMode.AS_AGGREGATOR, self.clock)
        self.listener = _Node(self.store, FollowMode.FROM_AGGREGATOR, self.clock)

    async def publish_step(self):
        await self.aggregator.follower.step()
        for update in self.aggregator.read:
            self.listener.follower.on_update(update)
        self.aggregator.read.clear()

    async def test_a_listener_receives_parts_without_a_call(self):
        """Guards against soon prefilling a sixth of the shared parts again.

        A store lets only a dozen callers wait, so each of 87 nodes called each of 19
        stores only every 2.5 s, and did not know of the parts that had become complete
        since its last call.
        """
        await self.listener.follower.step()
        calls = self.store.calls
        self.store.save(1)
        await self.publish_step()
        self.assertTrue(self.listener.index.has(key(1)))
        self.assertEqual(self.store.calls, calls + 1)

    async def test_a_listener_that_missed_an_event_makes_one_call(self):
        """Guards against a node that counts the memory of a freed part as used forever.

        A datagram with events was lost, and later datagrams do not repeat its events.
        """
        await self.listener.follower.step()
        self.store.save(1)
        await self.aggregator.follower.step()
        self.aggregator.read.clear()
        self.store.save(2)
        await self.publish_step()
        self.assertFalse(self.listener.index.has(key(2)))
        self.assertTrue(self.listener.follower._must_make_call())
        await self.listener.follower.step()
        self.assertTrue(self.listener.index.has(key(1)))
        self.assertTrue(self.listener.index.has(key(2)))
        self.assertFalse(self.listener.follower._must_make_call())

    async def test_after_a_call_a_listener_continues_with_the_aggregators_updates(self):
        """Guards against a domain whose nodes call every store several times a second.

        A listener that had called the store itself was a few events ahead of its
        aggregator. It dropped the overlapping update, and so detected a gap before the
        next one.
        """
        await self.listener.follower.step()
        await self.aggregator.follower.step()
        self.store.save(1)
        await self.listener.follower.step()
        self.store.save(1, tokens=0)
        self.store.save(2)
        await self.publish_step()
        self.store.save(3)
        await self.publish_step()
        self.assertFalse(self.listener.follower._must_make_call())
        held = [i for i in range(1, 4) if self.listener.index.has(key(i))]
        self.assertEqual(held, [2, 3])

    async def test_listeners_miss_nothing_when_the_aggregator_reads_a_snapshot(self):
        """Guards against all nodes calling every store several times a second.

        A hundredth of a store's events never arrive. The aggregator then read the
        complete list, but published nothing of it, so all its neighbours called the
        store too.
        """
        self.store.save(1)
        await self.aggregator.follower.step()
        await self.listener.follower.step()
        self.aggregator.read.clear()
        self.store.max_events = 1
        self.store.save(1, tokens=0)
        self.store.save(2)
        self.store.save(3)
        await self.publish_step()
        self.assertEqual(self.store.lists, 1)
        self.assertFalse(self.listener.follower._must_make_call())
        held = [i for i in range(1, 4) if self.listener.index.has(key(i))]
        self.assertEqual(held, [2, 3])

    async def test_an_update_that_arrives_twice_changes_nothing(self):
        await self.listener.follower.step()
        self.store.save(1)
        await self.aggregator.follower.step()
        (first,) = self.aggregator.read
        self.listener.follower.on_update(first)
        self.store.save(1, tokens=0)
        await self.publish_step()
        self.listener.follower.on_update(first)
        self.assertFalse(self.listener.index.has(key(1)))
        self.assertFalse(self.listener.follower._must_make_call())

    async def test_a_listener_detects_a_restart(self):
        """Guards against answering a prompt from memory that is only half written.

        A store restarted empty. A node that had not detected the restart fetched a part
        that another node was saving again.
        """
        self.store.save(1)
        await self.listener.follower.step()
        await self.publish_step()
        self.store.restart()
        await self.publish_step()
        self.store.save(2)
        await self.publish_step()
        self.assertFalse(self.listener.index.has(key(1)))
        self.assertTrue(self.listener.index.has(key(2)))
        self.assertFalse(self.listener.index.reserve_save(4_199, key(3), 400))
        self.assertTrue(self.listener.index.reserve_save(4_850, key(3), 400))

    async def test_saves_are_blocked_until_every_listener_has_detected_a_restart(
        self,
    ):
        """Guards against answering a prompt from memory that is only half written.

        The aggregator crashed together with the store, and the next aggregator has just
        started. A listener calls the store itself after 1.6 s. Until then it assumes
        that the store holds parts, which other nodes are saving again.
        """
        self.store.save(1)
        await self.listener.follower.step()
        self.store.restart()
        await self.aggregator.follower.step()
        await self.enterAsyncContext(_Running(self.listener.follower))
        await self.clock.advance_ms(1_650)
        self.assertFalse(self.listener.index.has(key(1)))
        self.assertFalse(self.aggregator.index.reserve_save(1_650, key(1), 400))

    async def test_what_waited_does_not_make_an_index_valid_for_longer(self):
        """Guards against fetching a part that is half written after a standstill.

        The store restarted while the node stood still, and its last update from before
        had waited to be read.
        """
        await self.listener.follower.step()
        valid_until_ms = self.listener.index.valid_until_ms
        self.assertLess(valid_until_ms, 4_850)
        await self.aggregator.follower.step()
        (update,) = self.aggregator.read
        self.clock._now_ms = 8_000
        self.listener.follower.on_update(update, has_waited=True)
        self.assertEqual(self.listener.index.valid_until_ms, valid_until_ms)
        self.listener.follower.on_update(update)
        self.assertGreater(self.listener.index.valid_until_ms, 8_000)

    async def test_an_answer_that_waited_does_not_make_an_index_valid_for_longer(
        self,
    ):
        """Guards against fetching a part that is half written after a standstill."""
        standstills = Standstills(clock=self.clock)
        node = _Node(
            self.store,
            FollowMode.INDEPENDENT,
            self.clock,
            lost_ms=lambda since_ms: standstills.lost_ms(
                self.clock.now_ms(), since_ms=since_ms
            ),
        )
        standstills.on_tick(0)
        answer = self.store.kv_events

        async def answer_and_stand_still(*args, **options):
            update = await answer(*args, **options)
            self.clock._now_ms = 8_000
            return update

        self.store.kv_events = answer_and_stand_still
        await node.follower.step()
        self.assertLess(node.index.valid_until_ms, 4_850)

    async def test_a_listener_without_an_aggregator_calls_the_store(self):
        await self.enterAsyncContext(_Running(self.listener.follower))
        await self.clock.advance_ms(10)
        calls = self.store.calls
        await self.clock.advance_ms(3_300)
        self.assertEqual(self.store.calls, calls + 2)

    async def test_listeners_do_not_poll_a_store_that_is_down(self):
        """Guards against thousands of calls a second while stores start or are down."""
        self.store.is_down = True
        await self.enterAsyncContext(_Running(self.listener.follower))
        for _ in range(10):
            await self.clock.advance_ms(500)
        self.assertLessEqual(self.store.calls, 5)

    async def test_a_listener_applies_the_first_update_of_a_store_that_was_down(self):
        """Guards against a listener that waits although the store has come back."""
        self.store.is_down = True
        await self.enterAsyncContext(_Running(self.listener.follower))
        await self.clock.advance_ms(10)
        self.store.is_down = False
        self.store.save(1)
        await self.publish_step()
        await self.clock.advance_ms(10)
        self.assertTrue(self.listener.index.has(key(1)))

    async def test_nothing_is_fetched_from_a_store_that_does_not_answer(self):
        self.store.save(1)
        await self.listener.follower.step()
        self.store.is_down = True
        await self.listener.follower.step()
        self.assertFalse(self.listener.index.has(key(1)))

    async def test_after_a_gap_in_the_stores_events_a_snapshot_is_read(self):
        await self.aggregator.follower.step()
        self.store.max_events = 1
        self.store.save(1)
        self.store.save(2)
        await self.aggregator.follower.step()
        self.assertEqual(self.store.lists, 1)
        self.assertTrue(self.aggregator.index.has(key(1)))


class _Running:
    """Runs a follower as a task until the end of a test."""

    def __init__(self, follower):
        self.follower = follower

    async def __aenter__(self):
        self.task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(0)

    async def __aexit__(self, *error):
        self.task.cancel()
