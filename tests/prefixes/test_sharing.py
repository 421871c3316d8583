"""Nodes that miss events of a KV store ask their aggregator for them."""

import unittest

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import ManualClock
from fireflyward.peers import CallFailed, pack, unpack
from fireflyward.prefixes import (
    Following,
    KvEvent,
    KvNews,
    PartKey,
    SharedEvents,
    StoreFollower,
    StoreIndex,
)

NAMES = [f"n{i}" for i in range(14)]
STORE = "s:1"


def event(number, tokens=32):
    return KvEvent(PartKey("m~1", f"p{number}"), tokens)


class _Store:
    """Holds events by number; counts who calls it."""

    def __init__(self):
        self.epoch = 7
        self.events = []
        self.calls = 0

    async def kv_events(self, address, *, since, wait_ms, limit_ms):
        self.calls += 1
        events = tuple(self.events[since:])
        return KvNews(self.epoch, events, len(self.events), since=since)

    async def kv_list(self, address, *, limit_ms):
        self.calls += 1
        held = {event.key: event for event in self.events if event.tokens}
        return KvNews(self.epoch, tuple(held.values()), len(self.events), is_whole=True)


class _Link:
    def __init__(self, network):
        self.network = network

    def register(self, kind, struct_type, handle):
        self.struct_type, self.handle = struct_type, handle

    async def call(self, address, kind, message, reply_type, *, limit_s):
        other = self.network[address[0]]
        if other.is_dead:
            return CallFailed("no answer")
        ask = unpack(other.link.struct_type, pack(message))
        return unpack(reply_type, pack(await other.link.handle("", ask)))


class _Node:
    def __init__(self, name, network, store, clock):
        self.is_dead = False
        self.link = _Link(network)
        aggregators = Aggregators(name, "a", link_mbps=100)
        aggregators.set_members(
            Member(other, "a", (other, 1), 100) for other in NAMES if other != name
        )
        self.is_first = aggregators.own_aggregator(0) is None
        self.index = StoreIndex(STORE, 10_000)
        self.events = SharedEvents(
            store,
            clock=clock,
            aggregators=aggregators,
            index_of=lambda address: self.index if address == STORE else None,
        )
        self.events.use(self.link)
        way = Following.FOR_OTHERS if self.is_first else Following.FROM_AGGREGATOR
        self.follower = StoreFollower(
            self.index,
            reader=self.events,
            clock=clock,
            way=lambda: way,
            on_read=self.events.on_read,
        )

    @property
    def held(self):
        return {key.part_id for key in self.index.keys()}


class SharingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.store = _Store()
        network = {}
        for name in NAMES:
            network[name] = _Node(name, network, self.store, self.clock)
        (self.first,) = [node for node in network.values() if node.is_first]
        self.other = next(node for node in network.values() if not node.is_first)

    async def test_who_starts_or_misses_something_calls_no_store(self):
        """Symptom: 195 nodes make 690 calls a second of KV stores, most refused.

        One large answer did not fit a datagram. All neighbours asked the store, which
        lets a dozen wait, and again every half second.
        """
        self.store.events = [event(n) for n in range(3)]
        await self.first.follower.step()
        calls = self.store.calls
        await self.other.follower.step()
        await self.other.follower.step()
        self.assertEqual(self.other.held, {"p0", "p1", "p2"})
        self.store.events += [event(1, 0), event(9)]
        await self.first.follower.step()
        await self.other.follower.step()
        self.assertEqual(self.other.held, {"p0", "p2", "p9"})
        self.assertEqual(self.store.calls, calls + 1)

    async def test_who_is_far_behind_reads_the_aggregator_s_list(self):
        await self.first.follower.step()
        await self.other.follower.step()
        for number in range(80):
            self.store.events.append(event(number))
            await self.first.follower.step()
        self.store.events.append(event(3, 0))
        await self.first.follower.step()
        calls = self.store.calls
        await self.other.follower.step()
        self.assertEqual(self.other.held, self.first.held)
        self.assertEqual(self.store.calls, calls)

    async def test_what_was_seen_freed_does_not_come_back(self):
        """Symptom: a fetch gets memory that is being written.

        A node knew more than its new aggregator, took that one's older list and
        fetched a part that had been freed and was being saved anew.
        """
        self.store.events = [event(0), event(1)]
        await self.first.follower.step()
        self.store.events.append(event(0, 0))
        news = await self.store.kv_events(STORE, since=0, wait_ms=0, limit_ms=0)
        self.other.index.take(news)
        await self.other.follower.step()
        self.assertEqual(self.other.held, {"p1"})
        self.assertEqual(self.other.index.next_event, 3)

    async def test_another_life_of_the_store_is_noticed(self):
        self.store.events = [event(0), event(1)]
        await self.first.follower.step()
        await self.other.follower.step()
        self.store.epoch, self.store.events = 8, [event(5)]
        for _ in range(3):
            await self.first.follower.step()
        for _ in range(3):
            await self.other.follower.step()
        self.assertEqual(self.other.held, {"p5"})
        self.assertEqual(self.other.index.epoch, 8)

    async def test_an_aggregator_without_the_store_s_word_makes_it_silent(self):
        """Symptom: requests wait for fetches from a store that is down.

        The aggregator went on telling what the store had held before.
        """
        self.store.events = [event(0)]
        await self.first.follower.step()
        await self.other.follower.step()
        calls = self.store.calls
        self.first.index.on_silence()
        self.assertFalse(await self.other.follower.step())
        self.assertFalse(self.other.index.is_up)
        self.assertEqual(self.store.calls, calls)

    async def test_without_the_aggregator_the_store_is_asked(self):
        self.store.events = [event(0)]
        self.first.is_dead = True
        await self.other.follower.step()
        self.assertEqual(self.other.held, {"p0"})
