import unittest

from fireflyward.kept import (
    HeldRun,
    PrefixIndex,
    ShardLookUp,
    StoreChange,
    holders_of,
    shard_of,
)
from fireflyward.membership import Member
from fireflyward.peers import PeerCodec, PeerLink

KEYS = tuple(f"{number:02x}" * 16 for number in range(1, 41))
SHARD = shard_of(KEYS[0])
NODES = 6


class ShardLookUpTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        codec = PeerCodec((b"k" * 16,))
        self.links = [
            PeerLink(node_name=f"entry-{number}", incarnation=1, codec=codec)
            for number in range(NODES)
        ]
        for link in self.links:
            await link.start()
            self.addAsyncCleanup(link.stop)
        self.members = tuple(
            Member(link.node_name, link.address, "d", "r", 1) for link in self.links
        )
        self.index_by_node = {link.node_name: PrefixIndex() for link in self.links}
        self.look_up_by_node = {
            link.node_name: ShardLookUp(
                link,
                self.index_by_node[link.node_name],
                lambda: self.members,
                timeout_s=5.0,
            )
            for link in self.links
        }
        self.holder_names = [item.name for item in holders_of(SHARD, self.members)]
        for name in self.holder_names:
            changes = [StoreChange(KEYS[at - 1], at, True, SHARD) for at in (8, 16, 32)]
            self.index_by_node[name].apply("s1", changes)
        self.remote_look_up = next(
            look_up
            for name, look_up in self.look_up_by_node.items()
            if name not in self.holder_names
        )

    async def test_node_without_the_shard_queries_a_holder(self):
        self.assertEqual(self.remote_look_up.find(KEYS), ())
        await self.remote_look_up.fetch(KEYS)
        self.assertEqual(
            self.remote_look_up.find(KEYS), (HeldRun("s1", 0, 16), HeldRun("s1", 24, 8))
        )

    async def test_query_to_a_crashed_holder_finds_nothing(self):
        """Guards against a prompt that waits for a crashed node.

        The holder of its shard crashes, and membership has not detected that yet. A
        look-up must have a time limit and must not raise an error.
        """
        for link in self.links:
            if link.node_name in self.holder_names:
                await link.stop()
        await self.remote_look_up.fetch(KEYS)
        self.assertEqual(
            (self.remote_look_up.find(KEYS), self.remote_look_up.failed), ((), 1)
        )

    async def test_holder_sends_no_query(self):
        holder = self.look_up_by_node[self.holder_names[0]]
        sent = [link.bytes_sent for link in self.links]
        await holder.fetch(KEYS)
        self.assertEqual([link.bytes_sent for link in self.links], sent)
        self.assertEqual(len(holder.find(KEYS)), 2)
