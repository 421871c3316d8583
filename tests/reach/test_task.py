"""Detection of failure domains that a node cannot reach."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.http1 import NotConnected
from fireflyward.reach import DomainCheck, ReachTask
from fireflyward.replicas import Chooser, ReplicaDirectory, Requirements
from tests.replicas.makers import entry


class Connection:
    """A fake of an open connection, without data."""

    def __init__(self):
        self.is_closed = False
        self.received_bytes = 0
        self.relay = ""

    def close(self):
        self.is_closed = True


class Pool:
    """Opens connections to replicas that are neither silent nor refusing."""

    def __init__(self, clock):
        self.clock = clock
        self.silent = set()
        self.refusing = set()
        self.probed = []
        self.closed_idle = set()

    async def acquire(self, address, *, connect_ms, fresh):
        name = address.partition(":")[0]
        self.probed.append(name)
        if name in self.silent:
            await self.clock.sleep_ms(connect_ms)
            return NotConnected("no answer")
        if name in self.refusing:
            return NotConnected("refused", is_refused=True)
        return Connection()

    def release(self, connection):
        pass

    def close_idle_direct(self, address):
        self.closed_idle.add(address)

    def close_idle_relayed(self, address):
        self.closed_idle.add(address)


class Link:
    def __init__(self):
        self.sent = []
        self.handle = None

    def register(self, kind, struct_type, handle, **options):
        self.handle = handle

    def send_all(self, addresses, kind, message):
        self.sent.append((tuple(addresses), message.failure_domain))


class ReachTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.pool = Pool(self.clock)
        self.directory = ReplicaDirectory()
        entries = [entry(f"{zone}{n}", zone=zone) for zone in "ab" for n in range(6)]
        self.directory.on_full_read(0, entries)
        self.link = Link()
        self.task = ReachTask(
            clock=self.clock,
            pool=self.pool,
            directory=self.directory,
            peers=lambda: [("n2", 1)],
            seed=1,
        )
        self.task.use(self.link)
        self.chooser = Chooser(self.directory, failure_domain="a", seed=1)

    def silence(self, *names):
        self.pool.silent = set(names)

    def on_silent(self, name):
        self.task.on_silent(self.directory.find(name))

    async def asyncTearDown(self):
        for task in self.task.tasks:
            task.cancel()
        await asyncio.gather(*self.task.tasks, return_exceptions=True)

    def chosen_domains(self):
        chosen = [self.chooser.choose(0, Requirements("s")) for _ in range(60)]
        return {choice.replica.entry.failure_domain for choice in chosen}

    async def test_an_unreachable_domain_is_a_last_resort_at_once(self):
        """Guards against requests that wait 350 ms in vain after a network fault.

        A failure domain was cut off, and each node sent a request to each of its
        replicas before it considered all of them silent. This took seconds.
        """
        self.silence(*(f"b{n}" for n in range(6)))
        for state in self.directory.of_service("s"):
            state.in_flight = 2 * (state.entry.failure_domain == "a")
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        self.assertEqual(self.directory.unreachable, {"b"})
        self.assertEqual(self.chosen_domains(), {"a"})

    async def test_entries_of_no_replica_do_not_cut_their_domain(self):
        """Guards against rejections because entries name hosts that do not answer.

        Two of them were probed, so that the domain of all sound replicas seemed to be
        cut off.
        """
        for name in ("b0", "b1"):
            self.directory.find(name).has_connected = True
        self.silence(*(f"b{n}" for n in range(2, 6)))
        for _ in range(20):
            self.on_silent("b2")
            await self.clock.advance_ms(151)
            self.assertEqual(self.directory.unreachable, frozenset())

    async def test_a_domain_is_found_again_beside_entries_of_no_replica(self):
        """Guards against a node that starts among such entries and rejects all."""
        self.silence(*(f"b{n}" for n in range(1, 6)))
        self.on_silent("b1")
        async with asyncio.timeout(20):
            while not self.directory.find("b0").has_connected:
                self.on_silent("b1")
                await self.clock.advance_ms(451)
        await self.clock.advance_ms(451)
        for _ in range(20):
            self.on_silent("b1")
            await self.clock.advance_ms(151)
            self.assertEqual(self.directory.unreachable, frozenset())

    async def test_idempotent_requests_do_not_wait_for_an_unreachable_domain(self):
        """Guards against requests that hang for three seconds after a network fault.

        The requests had reached their replicas just before the fault, and the answers
        were lost. The kernel closed the silent connections only after its last probe,
        so the requests were late.
        """
        self.silence(*(f"b{n}" for n in range(6)))
        cut_off, working = Connection(), Connection()
        with (
            self.task.awaiting(self.directory.find("b3"), cut_off),
            self.task.awaiting(self.directory.find("a3"), working),
        ):
            self.on_silent("b0")
            await self.clock.advance_ms(301)
        self.assertEqual((cut_off.is_closed, working.is_closed), (True, False))

    async def test_connections_of_answered_requests_are_not_closed(self):
        self.silence(*(f"b{n}" for n in range(6)))
        connection = Connection()
        with self.task.awaiting(self.directory.find("b3"), connection):
            pass
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        self.assertFalse(connection.is_closed)

    async def test_a_node_that_is_cut_off_finds_all_other_domains_unreachable_at_once(
        self,
    ):
        """Guards against requests that fail twice in a network fault.

        A node in the domain that was cut off found one of the other domains silent. It
        retried the requests that waited there in the next domain, which was silent too.
        """
        entries = [entry(f"c{n}", zone="c") for n in range(6)]
        self.directory.on_changes(0, entries, [])
        self.silence(*(f"{zone}{n}" for zone in "bc" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(301)
        self.assertEqual(self.directory.unreachable, {"b", "c"})

    async def test_a_second_domain_that_becomes_silent_later_is_found_too(self):
        entries = [entry(f"c{n}", zone="c") for n in range(6)]
        self.directory.on_changes(0, entries, [])
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(200)
        self.silence(*(f"{zone}{n}" for zone in "bc" for n in range(6)))
        self.on_silent("c0")
        await self.clock.advance_ms(151)
        self.assertEqual(self.directory.unreachable, {"b", "c"})

    async def test_a_domain_is_used_again_after_a_successful_connection(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(1_000)
        self.assertEqual(self.directory.unreachable, {"b"})
        self.silence()
        await self.clock.advance_ms(450)
        self.assertFalse(self.directory.unreachable)
        self.assertFalse(self.task.tasks)

    async def test_one_silent_replica_does_not_make_its_domain_unreachable(self):
        """Guards against a failure domain idle because of one silent replica."""
        self.silence("b0")
        self.on_silent("b0")
        await self.clock.advance_ms(400)
        self.assertFalse(self.directory.unreachable)

    async def test_a_domain_that_refuses_connections_is_reachable(self):
        self.pool.refusing = {f"b{n}" for n in range(6)}
        self.on_silent("b0")
        await self.clock.advance_ms(400)
        self.assertFalse(self.directory.unreachable)

    async def test_an_unreachable_domain_is_announced_once(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        self.on_silent("b1")
        await self.clock.advance_ms(151)
        self.on_silent("b2")
        self.assertEqual(self.link.sent, [((("n2", 1),), "b")])

    async def receive_announcement_of_b(self):
        await self.link.handle("n2", type("Announcement", (), {"failure_domain": "b"}))
        await self.clock.advance_ms(151)

    async def test_a_node_that_receives_an_announcement_probes_and_does_not_announce(
        self,
    ):
        await self.receive_announcement_of_b()
        self.assertFalse(self.directory.unreachable)
        self.silence(*(f"b{n}" for n in range(6)))
        await self.receive_announcement_of_b()
        self.assertEqual(self.directory.unreachable, {"b"})
        self.assertEqual(self.link.sent, [])

    async def test_one_silent_replica_is_not_announced(self):
        """Guards against hundreds of new connections a second due to a silent replica.

        Each node that found the replica silent announced it to all others, and each of
        those opened probe connections into every failure domain.
        """
        self.silence("b0")
        for _ in range(5):
            self.on_silent("b0")
            await self.clock.advance_ms(200)
        self.assertEqual(self.link.sent, [])
        self.assertLessEqual(len(self.pool.probed), 2 * 5)

    async def test_an_unreachable_domain_is_used_if_there_is_no_other(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        without = frozenset(entry(f"a{n}", zone="a").incarnation_id for n in range(6))
        self.assertIsNotNone(self.chooser.choose(0, Requirements("s"), without=without))

    async def test_a_domain_without_listed_replicas_is_not_unreachable(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        names = [f"b{n}" for n in range(6)]
        self.directory.on_changes(0, [], names)
        await self.clock.advance_ms(450)
        self.assertFalse(self.directory.unreachable)


class CheckTests(unittest.TestCase):
    def test_leaving_replicas_are_not_probed(self):
        directory = ReplicaDirectory()
        entries = [entry("r1"), entry("r2", leaving=True), entry("r3")]
        directory.on_full_read(0, entries)
        directory.on_leaving(directory.find("r3"))
        probed = DomainCheck(seed=1).choose_replicas(directory.all())
        self.assertEqual([state.entry.incarnation for state in probed], ["r1"])


class RelayedDomainTests(unittest.IsolatedAsyncioTestCase):
    """A node whose links to a domain are cut, while others reach it."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.pool = Pool(self.clock)
        self.directory = ReplicaDirectory()
        entries = [entry(f"{zone}{n}", zone=zone) for zone in "ab" for n in range(6)]
        self.directory.on_full_read(0, entries)
        self.relayed_names = set()
        self.has_relay = True
        self.task = ReachTask(
            clock=self.clock,
            pool=self.pool,
            directory=self.directory,
            peers=lambda: [],
            can_relay=self.can_relay,
            is_relayed=lambda state: state.entry.incarnation in self.relayed_names,
            seed=1,
        )

    async def can_relay(self, replica):
        return self.has_relay

    async def asyncTearDown(self):
        for task in self.task.tasks:
            task.cancel()
        await asyncio.gather(*self.task.tasks, return_exceptions=True)

    async def cut(self, *names):
        self.pool.silent = set(names)
        self.task.on_silent(self.directory.find(names[0]))
        await self.clock.advance_ms(301)

    async def test_a_domain_that_others_reach_is_relayed(self):
        await self.cut(*(f"b{n}" for n in range(6)))
        self.assertEqual(self.directory.relayed, {"b"})
        self.assertFalse(self.directory.unreachable)
        self.assertEqual(self.task.isolated_ms, 0)
        self.assertEqual(self.pool.closed_idle, {f"b{n}:80" for n in range(6)})
        self.pool.silent = set()
        await self.clock.advance_ms(500)
        self.assertFalse(self.directory.relayed)

    async def test_a_domain_that_loses_its_relays_is_unreachable(self):
        await self.cut(*(f"b{n}" for n in range(6)))
        self.has_relay = False
        await self.clock.advance_ms(1_000)
        self.assertEqual(self.directory.unreachable, {"b"})
        self.assertEqual(self.directory.without_path, {"b"})

    async def test_a_partly_cut_domain_keeps_its_path(self):
        """Guards against requests that are retried with each change of the path.

        Of six replicas three were cut off. Two probes found the domain silent and
        reachable in turn, several times a second, and each time all repeatable
        requests that waited there were sent again.
        """
        await self.cut(*(f"b{n}" for n in range(6)))
        self.pool.silent = {"b0", "b1", "b2", "b3", "b4"}
        for _ in range(20):
            await self.clock.advance_ms(450)
            self.assertEqual(self.directory.relayed, {"b"})

    async def test_replicas_known_to_be_relayed_are_not_probed_for_their_domain(self):
        self.relayed_names = {"b0", "b1"}
        for _ in range(10):
            await self.cut("b0", "b1")
            self.assertFalse(self.directory.relayed)
        self.assertNotIn("b0", self.pool.probed)
