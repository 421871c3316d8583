"""An aggregator publishes the events of stores to its neighbours."""

import unittest

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import ManualClock
from fireflyward.peers import pack, unpack
from fireflyward.prefixes import FollowMode, KvEvent, KvUpdate, PartKey, StorePublisher
from fireflyward.prefixes._encoding import encode
from fireflyward.prefixes._publisher import StoresNews, encoded_bytes


def members(own):
    names = [f"n{i}" for i in range(14)]
    return [Member(name, "a", (name, 1), 100) for name in names if name != own]


class _Link:
    def __init__(self):
        self.sent = []

    def register(self, kind, struct_type, handle, **options):
        self.handle = handle

    def send_all(self, addresses, kind, message):
        self.sent.append((list(addresses), unpack(StoresNews, pack(message))))


class _Follower:
    def __init__(self):
        self.updates = []

    def on_update(self, update, *, has_waited):
        self.updates.append(update)


class _Node:
    def __init__(self, name, clock):
        self.aggregators = Aggregators(name, "a", link_mbps=100)
        self.aggregators.set_members(members(name))
        self.follower = _Follower()
        self.link = _Link()
        self.publisher = StorePublisher(
            clock=clock,
            aggregators=self.aggregators,
            followers=lambda: [("s:1", self.follower)],
        )
        self.publisher.use(self.link)


def update(since, count):
    events = tuple(
        KvEvent(PartKey(f"m~{i % 2}", f"p{since + i}"), 16 * i) for i in range(count)
    )
    return KvUpdate(7, events, since + count, since=since)


class StorePublisherTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(now_ms=1_000)
        nodes = [_Node(f"n{i}", self.clock) for i in range(14)]
        (self.aggregator,) = [
            node for node in nodes if node.publisher.mode() is FollowMode.AS_AGGREGATOR
        ]
        self.listener = next(node for node in nodes if node is not self.aggregator)

    def test_in_a_large_cluster_one_node_follows_for_all(self):
        self.assertIs(self.listener.publisher.mode(), FollowMode.FROM_AGGREGATOR)

    def test_in_a_small_cluster_each_node_follows_itself(self):
        self.listener.aggregators.set_members(members("n0")[:5])
        self.assertIs(self.listener.publisher.mode(), FollowMode.INDEPENDENT)

    async def test_an_update_arrives_unchanged(self):
        read = update(10, 5)
        self.aggregator.publisher.on_read("s:1", read)
        self.aggregator.publisher.on_read("unknown:1", read)
        self.aggregator.publisher.publish(self.aggregator.link)
        ((addresses, message),) = self.aggregator.link.sent
        self.assertEqual(len(addresses), 13)
        await self.listener.link.handle(self.aggregator.aggregators, message)
        self.assertEqual(self.listener.follower.updates, [read])

    def test_a_store_without_events_is_published_periodically(self):
        for _ in range(10):
            self.aggregator.publisher.on_read("s:1", update(10, 0))
            self.clock._now_ms += 100
        self.aggregator.publisher.publish(self.aggregator.link)
        ((_, message),) = self.aggregator.link.sent
        self.assertEqual(len(message.stores), 2)

    def test_event_numbers_that_advance_without_events_are_published(self):
        """Guards against listeners that call a store so often that it rejects calls.

        Some events of a store never arrive, so its event numbers advance without them.
        Listeners received only the next events, and took the difference for a gap.
        """
        self.aggregator.publisher.on_read("s:1", update(10, 0))
        self.aggregator.publisher.on_read("s:1", KvUpdate(7, (), 12, since=10))
        self.aggregator.publisher.publish(self.aggregator.link)
        ((_, message),) = self.aggregator.link.sent
        self.assertEqual([item.next_event for item in message.stores], [10, 12])

    def test_many_events_are_split_into_several_datagrams(self):
        for since in range(0, 200, 20):
            self.aggregator.publisher.on_read("s:1", update(since, 20))
        self.aggregator.publisher.publish(self.aggregator.link)
        self.assertGreater(len(self.aggregator.link.sent), 3)
        for _, message in self.aggregator.link.sent:
            self.assertLess(len(pack(message)), 1_250)

    def test_every_message_fits_into_a_datagram(self):
        """Guards against listeners that call for the events of every store.

        The size of a message was estimated without its salts and with too little for
        each store. Messages about many stores were too large, so none was sent.
        """
        for store in range(24):
            address = f"172.20.100.{store}:8302"
            read = KvUpdate(
                77_120,
                tuple(
                    KvEvent(PartKey(f"model-{store}~{i}~account", "5c1e07a2"), 800)
                    for i in range(1 + store % 5)
                ),
                130,
                since=118,
            )
            self.assertGreaterEqual(
                encoded_bytes(address, read), len(pack(encode(address, read)))
            )
            self.aggregator.publisher.on_read(address, read)
        self.aggregator.publisher.publish(self.aggregator.link)
        sent = [message for _, message in self.aggregator.link.sent]
        self.assertEqual(sum(len(message.stores) for message in sent), 24)
        self.assertLess(max(len(pack(message)) for message in sent), 1_200)

    def test_only_an_aggregator_publishes(self):
        self.listener.publisher.on_read("s:1", update(0, 3))
        self.listener.publisher.publish(self.listener.link)
        self.assertEqual(self.listener.link.sent, [])
