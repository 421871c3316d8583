import asyncio
import unittest

from fireflyward.backing import VmEntry
from fireflyward.clock import Clock
from fireflyward.membership import Member, Membership, MembershipTask, MemberState
from fireflyward.observe import Metrics
from fireflyward.peers import PeerCodec, PeerLink
from fireflyward.standins import MemoryVms

LIMIT_S = 30


class TaskTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, name, *, seeds=(), vms=None):
        clock = Clock()
        link = PeerLink(
            node_name=name, incarnation=clock.wall_ms(), codec=PeerCodec((b"k" * 16,))
        )
        own = Member(name, link.address, "d1", "r", link.incarnation)
        task = MembershipTask(
            Membership(clock.now_ms(), own, seed=1),
            clock=clock,
            link=link,
            metrics=Metrics(),
            bundle_number=lambda: 3,
            seeds=seeds,
            vms=vms,
        )
        await link.start()
        self.addAsyncCleanup(link.stop)
        task.start()
        self.addAsyncCleanup(task.stop)
        return task, link.address

    async def until(self, done):
        async with asyncio.timeout(LIMIT_S):
            while not done():
                await asyncio.sleep(0.01)

    async def test_nodes_join_through_a_seed_and_announce_that_they_leave(self):
        first, address = await self.start("entry-1")
        second, _ = await self.start("entry-2", seeds=(address,))
        await self.until(lambda: len(first.members.all_live()) == 2)
        await self.until(lambda: len(second.members.all_live()) == 2)
        self.assertEqual(second.members.get("entry-1").address, address)
        await self.until(lambda: first.members.get("entry-2").bundle_number == 3)
        second.leave()
        await self.until(
            lambda: first.members.get("entry-2").state is MemberState.LEAVING
        )
        await second.stop()
        await self.until(lambda: first.members.get("entry-2").state is MemberState.DEAD)

    async def test_platform_list_provides_seeds(self):
        first, address = await self.start("entry-1")
        vms = MemoryVms()
        vms.entry_by_name["entry-1"] = VmEntry(
            "entry-1", "live", "d1", f"{address[0]}:{address[1]}"
        )
        vms.entry_by_name["odd"] = VmEntry("odd", "live", "d1", "nowhere")
        second, _ = await self.start("entry-2", vms=vms)
        await self.until(lambda: len(second.members.all_live()) == 2)

    async def test_odd_addresses_in_the_platform_list_hide_no_other_one(self):
        """Guards against a node that finds no others because of one entry."""
        first, address = await self.start("entry-1")
        vms = MemoryVms()
        ports = ("9" * 5_000, "\u00b2", "99999", "0", "-1", "")
        for number, port in enumerate(ports):
            name = f"odd-{number}"
            vms.entry_by_name[name] = VmEntry(name, "live", "d1", f"127.0.0.1:{port}")
        vms.entry_by_name["entry-1"] = VmEntry(
            "entry-1", "live", "d1", f"{address[0]}:{address[1]}"
        )
        second, _ = await self.start("entry-2", vms=vms)
        with self.assertNoLogs("fireflyward.process", "ERROR"):
            await self.until(lambda: len(second.members.all_live()) == 2)

    async def test_node_starts_alone_while_the_platform_is_unavailable(self):
        vms = MemoryVms()
        vms.unavailable = True
        task, _ = await self.start("entry-1", vms=vms)
        self.assertEqual(len(task.members.all_live()), 1)
