"""An aggregator tells its neighbours what it read of stores."""

import unittest

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import ManualClock
from fireflyward.peers import pack, unpack
from fireflyward.prefixes import Following, KvEvent, KvUpdate, PartKey, StorePublisher
from fireflyward.prefixes._telling import StoresNews


def members(own):
    names = [f"n{i}" for i in range(14)]
    return [Member(name, "a", (name, 1), 100) for name in names if name != own]


class _Link:
    def __init__(self):
        self.sent = []

    def register(self, kind, struct_type, handle):
        self.handle = handle

    def send_all(self, addresses, kind, news):
        self.sent.append((list(addresses), unpack(StoresNews, pack(news))))


class _Follower:
    def __init__(self):
        self.heard = []

    def hear(self, news):
        self.heard.append(news)


class _Node:
    def __init__(self, name, clock):
        self.aggregators = Aggregators(name, "a", link_mbps=100)
        self.aggregators.set_members(members(name))
        self.follower = _Follower()
        self.link = _Link()
        self.telling = StorePublisher(
            clock=clock,
            aggregators=self.aggregators,
            followers=lambda: [("s:1", self.follower)],
        )
        self.telling.listen(self.link)


def news(since, count):
    events = tuple(
        KvEvent(PartKey(f"m~{i % 2}", f"p{since + i}"), 16 * i) for i in range(count)
    )
    return KvUpdate(7, events, since + count, since=since)


class StoreTellingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(now_ms=1_000)
        nodes = [_Node(f"n{i}", self.clock) for i in range(14)]
        (self.first,) = [
            node for node in nodes if node.telling.mode() is Following.FOR_OTHERS
        ]
        self.other = next(node for node in nodes if node is not self.first)

    def test_one_of_many_nodes_follows_for_all(self):
        self.assertIs(self.other.telling.mode(), Following.FROM_AGGREGATOR)

    def test_a_few_nodes_follow_by_themselves(self):
        self.other.aggregators.set_members(members("n0")[:5])
        self.assertIs(self.other.telling.mode(), Following.BY_ITSELF)

    async def test_what_was_read_arrives_as_it_was(self):
        read = news(10, 5)
        self.first.telling.on_read("s:1", read)
        self.first.telling.on_read("unknown:1", read)
        self.first.telling.tell(self.first.link)
        ((addresses, told),) = self.first.link.sent
        self.assertEqual(len(addresses), 13)
        await self.other.link.handle(self.first.aggregators, told)
        self.assertEqual(self.other.follower.heard, [read])

    def test_a_store_without_events_is_named_now_and_then(self):
        for _ in range(10):
            self.first.telling.on_read("s:1", news(10, 0))
            self.clock._now_ms += 100
        self.first.telling.tell(self.first.link)
        ((_, told),) = self.first.link.sent
        self.assertEqual(len(told.stores), 2)

    def test_numbers_without_events_are_told(self):
        """Symptom: listeners ask a store again and again, and it refuses them.

        Some of its events never arrive, so its numbers go on without one. Told of
        the next events only, each listener took the difference for a gap.
        """
        self.first.telling.on_read("s:1", news(10, 0))
        self.first.telling.on_read("s:1", KvUpdate(7, (), 12, since=10))
        self.first.telling.tell(self.first.link)
        ((_, told),) = self.first.link.sent
        self.assertEqual([item.next_event for item in told.stores], [10, 12])

    def test_much_news_takes_several_datagrams(self):
        for since in range(0, 200, 20):
            self.first.telling.on_read("s:1", news(since, 20))
        self.first.telling.tell(self.first.link)
        self.assertGreater(len(self.first.link.sent), 3)
        for _, told in self.first.link.sent:
            self.assertLess(len(pack(told)), 1_250)

    def test_only_an_aggregator_tells(self):
        self.other.telling.on_read("s:1", news(0, 3))
        self.other.telling.tell(self.other.link)
        self.assertEqual(self.other.link.sent, [])
