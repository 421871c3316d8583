"""Nodes that miss events of a KV store request them from their aggregator."""

import unittest

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import ManualClock
from fireflyward.peers import CallFailed, pack, unpack
from fireflyward.prefixes import (
    FollowMode,
    KvEvent,
    KvUpdate,
    PartKey,
    SharedStoreReader,
    StoreFollower,
    StoreIndex,
)

NAMES = [f"n{i}" for i in range(14)]
STORE = "s:1"


def event(number, tokens=32):
    return KvEvent(PartKey("m~1", f"p{number}"), tokens)


class _Store:
    """Holds numbered events, and counts the calls that it receives."""

    def __init__(self):
        self.epoch = 7
        self.events = []
        self.calls = 0

    async def kv_events(self, address, *, since, wait_ms, limit_ms):
        self.calls += 1
        events = tuple(self.events[since:])
        return KvUpdate(self.epoch, events, len(self.events), since=since)

    async def kv_list(self, address, *, limit_ms):
        self.calls += 1
        held = {event.key: event for event in self.events if event.tokens}
        return KvUpdate(
            self.epoch, tuple(held.values()), len(self.events), is_snapshot=True
        )


class _Link:
    def __init__(self, network):
        self.network = network

    def register(self, kind, struct_type, handle):
        self.struct_type, self.handle = struct_type, handle

    async def call(self, address, kind, message, reply_type, *, timeout_s):
        other = self.network[address[0]]
        if other.is_down:
            return CallFailed("no answer")
        request = unpack(other.link.struct_type, pack(message))
        return unpack(reply_type, pack(await other.link.handle("", request)))


class _Node:
    def __init__(self, name, network, store, clock):
        self.is_down = False
        self.link = _Link(network)
        aggregators = Aggregators(name, "a", link_mbps=100)
        aggregators.set_members(
            Member(other, "a", (other, 1), 100) for other in NAMES if other != name
        )
        self.is_aggregator = aggregators.own_aggregator(0) is None
        self.index = StoreIndex(STORE, 10_000)
        self.events = SharedStoreReader(
            store,
            clock=clock,
            aggregators=aggregators,
            index_of=lambda address: self.index if address == STORE else None,
        )
        self.events.use(self.link)
        mode = (
            FollowMode.AS_AGGREGATOR
            if self.is_aggregator
            else FollowMode.FROM_AGGREGATOR
        )
        self.follower = StoreFollower(
            self.index,
            reader=self.events,
            clock=clock,
            mode=lambda: mode,
            on_read=self.events.on_read,
        )

    @property
    def held(self):
        return {key.part_id for key in self.index.keys()}


class SharedStoreReaderTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.store = _Store()
        network = {}
        for name in NAMES:
            network[name] = _Node(name, network, self.store, self.clock)
        (self.aggregator,) = [node for node in network.values() if node.is_aggregator]
        self.listener = next(
            node for node in network.values() if not node.is_aggregator
        )

    async def test_a_node_that_starts_or_misses_events_calls_the_aggregator(self):
        """Guards against 195 nodes making 690 calls a second to KV stores.

        One large update did not fit into a datagram. All neighbours called the store,
        which lets only a dozen callers wait, and called it again every half second.
        Most of the calls were rejected.
        """
        self.store.events = [event(n) for n in range(3)]
        await self.aggregator.follower.step()
        calls = self.store.calls
        await self.listener.follower.step()
        await self.listener.follower.step()
        self.assertEqual(self.listener.held, {"p0", "p1", "p2"})
        self.store.events += [event(1, 0), event(9)]
        await self.aggregator.follower.step()
        await self.listener.follower.step()
        self.assertEqual(self.listener.held, {"p0", "p2", "p9"})
        self.assertEqual(self.store.calls, calls + 1)

    async def test_an_answer_of_another_build_is_not_used(self):
        """Guards against a store that is followed no more after one odd answer."""
        self.store.events = [event(n) for n in range(3)]
        await self.aggregator.follower.step()
        handle = self.aggregator.link.handle
        odd = [
            {"salt_of": [0, 1, 0]},
            {"salt_of": [0, -1, 0]},
            {"part_ids": ["p0"]},
            {"tokens": [32, -32, 32]},
            {"next_event": -1},
            {"outcome": "novel"},
        ]
        for changes in odd:

            async def answer(sender, request, changes=changes):
                found = await handle(sender, request)
                for name, value in changes.items():
                    part = found if name == "outcome" else found.events
                    setattr(part, name, value)
                return found

            with self.subTest(changes=changes):
                self.aggregator.link.handle = answer
                await self.listener.follower.step()
                await self.listener.follower.step()
                self.assertEqual(self.listener.held, set())
        self.aggregator.link.handle = handle
        await self.listener.follower.step()
        await self.listener.follower.step()
        self.assertEqual(self.listener.held, {"p0", "p1", "p2"})

    async def test_a_node_that_is_far_behind_reads_the_aggregators_snapshot(self):
        await self.aggregator.follower.step()
        await self.listener.follower.step()
        for number in range(80):
            self.store.events.append(event(number))
            await self.aggregator.follower.step()
        self.store.events.append(event(3, 0))
        await self.aggregator.follower.step()
        calls = self.store.calls
        await self.listener.follower.step()
        self.assertEqual(self.listener.held, self.aggregator.held)
        self.assertEqual(self.store.calls, calls)

    async def test_a_freed_part_does_not_reappear(self):
        """Guards against fetching memory that is being written.

        A node had read further than its new aggregator. It applied the aggregator's
        older snapshot and fetched a part that had been freed and was being saved again.
        """
        self.store.events = [event(0), event(1)]
        await self.aggregator.follower.step()
        self.store.events.append(event(0, 0))
        update = await self.store.kv_events(STORE, since=0, wait_ms=0, limit_ms=0)
        self.listener.index.apply(update)
        await self.listener.follower.step()
        self.assertEqual(self.listener.held, {"p1"})
        self.assertEqual(self.listener.index.next_event, 3)

    async def test_a_restart_of_the_store_is_detected(self):
        self.store.events = [event(0), event(1)]
        await self.aggregator.follower.step()
        await self.listener.follower.step()
        self.store.epoch, self.store.events = 8, [event(5)]
        for _ in range(3):
            await self.aggregator.follower.step()
        for _ in range(3):
            await self.listener.follower.step()
        self.assertEqual(self.listener.held, {"p5"})
        self.assertEqual(self.listener.index.epoch, 8)

    async def test_a_store_that_does_not_answer_the_aggregator_counts_as_unreachable(
        self,
    ):
        """Guards against requests that wait for fetches from a store that is down.

        The aggregator continued to report what the store had held before.
        """
        self.store.events = [event(0)]
        await self.aggregator.follower.step()
        await self.listener.follower.step()
        calls = self.store.calls
        self.aggregator.index.on_unreachable()
        self.assertFalse(await self.listener.follower.step())
        self.assertFalse(self.listener.index.is_up)
        self.assertEqual(self.store.calls, calls)

    async def test_without_the_aggregator_the_store_is_called(self):
        self.store.events = [event(0)]
        self.aggregator.is_down = True
        await self.listener.follower.step()
        self.assertEqual(self.listener.held, {"p0"})
