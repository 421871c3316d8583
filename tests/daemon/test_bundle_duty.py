import asyncio
import unittest

from fireflyward.bundles import (
    BundleFollower,
    BundleLoader,
    BundleStore,
    Condition,
    sign_bundle,
)
from fireflyward.bundles._store import HEAD_KEY, history_key
from fireflyward.clock import ManualClock
from fireflyward.daemon._bundle_duty import BundleDuty
from fireflyward.daemon._bundle_peers import BundlePeers
from fireflyward.membership import Member, Members, MemberState
from fireflyward.observe import Metrics
from fireflyward.peers import CallFailed, pack, unpack
from fireflyward.standins import MemoryObjects, MemoryTable
from tests.bundles.makers import (
    ANA,
    BRUNO,
    DEPLOYMENT,
    ROOTS,
    bundle,
    verify_demo_change,
    verify_demo_snapshot,
)


class Network:
    """Delivers messages between links in memory, except to ``unreachable`` nodes."""

    def __init__(self):
        self.link_by_address = {}
        self.unreachable = set()

    def find_link(self, sender, address):
        link = self.link_by_address.get(address)
        names = {sender.node_name, link.node_name if link else ""}
        return None if link is None or names & self.unreachable else link


class FakeLink:
    """A ``PeerLink`` without sockets."""

    incarnation = 1

    def __init__(self, network, name, port):
        self.node_name = name
        self.address = ("10.0.0.1", port)
        self.handler_by_kind = {}
        self.network = network
        self.sent = []
        network.link_by_address[self.address] = self

    def register(self, kind, struct_type, handle):
        self.handler_by_kind[kind] = (struct_type, handle)

    def send(self, address, kind, message):
        self.sent.append((address, kind))
        link = self.network.find_link(self, address)
        if link:
            struct_type, handle = link.handler_by_kind[kind]
            coroutine = handle(self.node_name, unpack(struct_type, pack(message)))
            try:
                coroutine.send(None)
            except StopIteration:
                pass
        return True

    async def call(self, address, kind, message, reply_type, *, timeout_s=2.0):
        link = self.network.find_link(self, address)
        if link is None:
            return CallFailed("cut off")
        struct_type, handle = link.handler_by_kind[kind]
        reply = await handle(self.node_name, unpack(struct_type, pack(message)))
        return unpack(reply_type, pack(reply))


class NodeTable(MemoryTable):
    """One node's access to the shared table; it can fail for this node only."""

    def __init__(self, shared):
        super().__init__()
        self.row_by_key = shared.row_by_key


class CountingObjects(MemoryObjects):
    """One node's access to the shared objects; it counts the reads."""

    def __init__(self, shared):
        super().__init__()
        self.body_by_name = shared.body_by_name
        self.reads = 0

    async def get(self, name):
        self.reads += 1
        return await super().get(name)


class NodeFixture:
    """One node's bundle duty with its own access to the platform."""

    def __init__(self, world, name, port, members=None):
        self.table = NodeTable(world.table)
        self.objects = CountingObjects(world.objects)
        self.link = FakeLink(world.network, name, port)
        own = Member(name, self.link.address, "norte", "santiago", 1)
        self.members = Members(own)
        self.applied = []
        store = BundleStore(self.table, self.objects, clock=world.clock)
        seeds = [("10.0.0.1", other) for other in (1, 2, 3)]
        self.duty = BundleDuty(
            link=self.link,
            clock=world.clock,
            metrics=Metrics(),
            follower=BundleFollower(poll_ms=2_000, seed=port),
            store=store,
            loader=BundleLoader(store, roots=ROOTS, deployment=DEPLOYMENT),
            failure_domain="norte",
            peers=BundlePeers(self.link, self.members, seeds),
            apply=lambda applied: self.applied.append(applied.number),
        )

    def set_platform(self, *, is_unavailable):
        self.table.unavailable = self.objects.unavailable = is_unavailable

    @property
    def number(self):
        state = self.duty.state()
        return state.number if state else 0


class DutyTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.network = Network()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.store = BundleStore(self.table, self.objects, clock=self.clock)
        self.state = None
        self.nodes = []

    async def asyncTearDown(self):
        for node in self.nodes:
            await node.duty.stop()

    async def accept(self, following):
        signed = sign_bundle(following, author=ANA, approver=BRUNO, base=self.state)
        await self.store.accept(following, signed, base=self.state)
        base = self.state
        self.state = (
            verify_demo_change(signed, base) if base else verify_demo_snapshot(signed)
        )

    async def start(self, count=3):
        for _ in range(count):
            node = self.make_node(len(self.nodes) + 1)
            await node.duty.start()
        return self.nodes

    def make_node(self, port):
        node = NodeFixture(self, f"entry-{port}", port)
        self.nodes.append(node)
        return node

    def numbers(self):
        return [node.number for node in self.nodes]


class DistributionTests(DutyTestCase):
    async def test_accepted_bundle_is_in_force_at_every_node(self):
        await self.accept(bundle())
        await self.start()
        self.assertEqual(self.numbers(), [1, 1, 1])
        await self.accept(bundle(2, ("bridge-team",)))
        await self.clock.advance_ms(2_300)
        self.assertEqual(self.numbers(), [2, 2, 2])

    async def test_node_without_the_platform_fetches_changes_from_its_peers(self):
        await self.accept(bundle())
        one, other, isolated = await self.start()
        isolated.set_platform(is_unavailable=True)
        await self.accept(bundle(2, ("bridge-team",)))
        await self.clock.advance_ms(5_000)
        self.assertEqual(isolated.number, 2)
        self.assertEqual(isolated.applied, [1, 2])

    async def test_node_that_starts_without_the_platform_fetches_from_its_peers(self):
        """Guards against replaced VMs that cannot serve during a platform outage.

        A VM is replaced while the platform is unavailable, and starts without a
        bundle. It must not depend on the platform to get one.
        """
        await self.accept(bundle())
        await self.start(2)
        new = self.make_node(3)
        new.set_platform(is_unavailable=True)
        await new.duty.start()
        self.assertEqual(new.number, 1)
        self.assertEqual(new.duty.own_state().confirmed_ms_ago, -1)

    async def test_node_that_starts_without_platform_and_peers_has_no_bundle(self):
        new = self.make_node(1)
        new.set_platform(is_unavailable=True)
        await new.duty.start()
        self.assertEqual(new.number, 0)
        new.set_platform(is_unavailable=False)
        await self.accept(bundle())
        await self.clock.advance_ms(3_000)
        self.assertEqual(new.number, 1)

    async def test_node_without_connections_keeps_its_bundle_and_then_catches_up(self):
        await self.accept(bundle())
        *_, isolated = await self.start()
        isolated.set_platform(is_unavailable=True)
        self.network.unreachable = {"entry-3"}
        for number in range(2, 12):
            await self.accept(bundle(number))
        await self.clock.advance_ms(12_000)
        self.assertEqual(self.numbers(), [11, 11, 1])
        isolated.set_platform(is_unavailable=False)
        self.network.unreachable = set()
        await self.clock.advance_ms(3_000)
        self.assertEqual(isolated.number, 11)

    async def test_node_far_behind_starts_from_a_snapshot(self):
        await self.accept(bundle())
        for number in range(2, 135):
            await self.accept(bundle(number))
        (node,) = await self.start(1)
        self.assertEqual(node.number, 134)
        head, _ = await self.store.head()
        self.assertGreater(head.snapshot_number, 64)


class NoRollbackTests(DutyTestCase):
    async def test_lagging_table_and_peer_do_not_roll_a_node_back(self):
        """Guards against serving an account again that was withdrawn.

        The table service answers from a lagging replica, while a peer still has the
        older bundle number.
        """
        await self.accept(bundle())
        old_rows = dict(self.table.row_by_key)
        node, lagging = await self.start(2)
        self.network.unreachable = {"entry-2"}
        lagging.set_platform(is_unavailable=True)
        await self.accept(bundle(2, ("bridge-team",)))
        await self.clock.advance_ms(3_000)
        node.table.row_by_key = old_rows
        self.network.unreachable = set()
        self.clock.jump_wall_ms(-86_400_000)
        await self.clock.advance_ms(10_000)
        self.assertEqual(node.number, 2)
        self.assertEqual(node.applied, [1, 2])

    async def test_head_that_fails_verification_is_fetched_once_and_reported(self):
        """Guards against serving a forged head, and against fetching it endlessly.

        Someone with access to the table writes a head without valid signatures.
        """
        await self.accept(bundle())
        (node,) = await self.start(1)
        forged = sign_bundle(bundle(2), author=ANA, approver=ANA, base=self.state)
        await self.store.accept(bundle(2), forged)
        with self.assertLogs("fireflyward.bundles", "ERROR"):
            await self.clock.advance_ms(3_000)
        self.assertEqual(node.number, 1)
        self.assertIn("same person", node.duty.own_state().refused)
        fetched = node.objects.reads
        await self.clock.advance_ms(10_000)
        self.assertEqual(node.objects.reads, fetched)

    async def test_after_the_head_is_restored_the_next_bundle_comes_into_force(self):
        """Guards against rejecting every bundle after a forged head.

        The owners of the platform restore the head as docs/operate/first-week.md says,
        and a properly signed bundle with the same number is accepted.
        """
        await self.accept(bundle())
        (node,) = await self.start(1)
        good = self.table.row_by_key[HEAD_KEY]
        forged = sign_bundle(bundle(2), author=ANA, approver=ANA, base=self.state)
        await self.store.accept(bundle(2), forged)
        with self.assertLogs("fireflyward.bundles", "ERROR"):
            await self.clock.advance_ms(3_000)
        self.table.row_by_key[HEAD_KEY] = good
        del self.table.row_by_key[history_key(2)]
        await self.clock.advance_ms(3_000)
        await self.accept(bundle(2, ("bridge-team",)))
        await self.clock.advance_ms(3_000)
        self.assertEqual((node.number, node.duty.own_state().refused), (2, ""))


class CatchUpTests(DutyTestCase):
    async def test_number_that_a_caller_sends_is_fetched_at_once(self):
        await self.accept(bundle())
        (node,) = await self.start(1)
        await self.clock.advance_ms(500)
        await self.accept(bundle(2))
        catching_up = asyncio.create_task(node.duty.catch_up(2))
        await self.clock.advance_ms(300)
        self.assertTrue(await catching_up)

    async def test_wait_for_a_number_that_does_not_exist_is_short(self):
        await self.accept(bundle())
        (node,) = await self.start(1)
        catching_up = asyncio.create_task(node.duty.catch_up(99))
        await self.clock.advance_ms(600)
        self.assertFalse(await catching_up)


class StatusTests(DutyTestCase):
    async def test_unreachable_node_is_shown_with_its_last_number(self):
        await self.accept(bundle())
        one, *_ = await self.start()
        await one.duty.node_statuses()
        self.network.unreachable = {"entry-3"}
        statuses = {item.name: item for item in await one.duty.node_statuses()}
        self.assertEqual(statuses["entry-2"].condition, Condition.IN_FORCE)
        self.assertEqual(statuses["entry-3"].condition, Condition.UNREACHABLE)
        self.assertEqual(statuses["entry-3"].number, 1)

    async def test_heartbeats_carry_the_number_and_membership_reports_crashes(self):
        await self.accept(bundle())
        one, other = await self.start(2)
        other_member = Member("entry-2", other.link.address, "sur", "santiago", 1)
        one.members.put(other_member)
        one.set_platform(is_unavailable=True)
        other.members.put(Member("entry-9", ("10.0.0.1", 9), "sur", "santiago", 1))
        await self.accept(bundle(2))
        await self.clock.advance_ms(3_000)
        self.assertEqual((one.number, other.number), (1, 2))
        one.duty.on_member_number("entry-2", 2)
        await self.clock.advance_ms(300)
        self.assertEqual(one.number, 2)
        dead = Member("entry-2", other.link.address, "sur", "", 1, MemberState.DEAD, 2)
        one.members.put(dead)
        await self.clock.advance_ms(1_500)
        conditions = {
            item.name: item.condition for item in one.duty.status_tracker.statuses()
        }
        self.assertEqual(conditions["entry-2"], Condition.UNREACHABLE)

    async def test_node_that_did_not_answer_stays_unreachable_since_then(self):
        """Guards against a start of the condition that moves for a crashed node.

        The node crashes and does not answer a status request. The membership still
        considers it live, and declares it dead some seconds later.
        """
        await self.accept(bundle())
        one, other = await self.start(2)
        live = Member("entry-2", other.link.address, "sur", "santiago", 1)
        one.members.put(live)
        await self.clock.advance_ms(1_500)
        self.network.unreachable = {"entry-2"}
        await one.duty.node_statuses()
        unreachable_since_ms = self.clock.wall_ms()
        await self.clock.advance_ms(2_500)
        one.members.put(
            Member("entry-2", other.link.address, "sur", "", 1, MemberState.DEAD, 1)
        )
        await self.clock.advance_ms(2_500)
        status = one.duty.status_tracker.statuses()[1]
        self.assertEqual(status.condition, Condition.UNREACHABLE)
        self.assertEqual(status.since_wall_ms, unreachable_since_ms)
