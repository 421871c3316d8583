"""Failure domains that a node does not reach."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.http1 import NotConnected
from fireflyward.reach import DomainCheck, ReachTask
from fireflyward.replicas import Chooser, ReplicaDirectory, Wanted
from tests.replicas.makers import entry


class Connection:
    """An open connection; nothing is sent on it."""

    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


class Pool:
    """Opens connections to what is not silent."""

    def __init__(self, clock):
        self.clock = clock
        self.silent = set()
        self.refusing = set()
        self.tried = []

    async def take(self, address, *, connect_ms, fresh):
        name = address.partition(":")[0]
        self.tried.append(name)
        if name in self.silent:
            await self.clock.sleep_ms(connect_ms)
            return NotConnected("no answer")
        if name in self.refusing:
            return NotConnected("refused", is_refused=True)
        return Connection()

    def give_back(self, connection):
        pass


class Link:
    def __init__(self):
        self.sent = []
        self.handle = None

    def register(self, kind, struct_type, handle):
        self.handle = handle

    def send_all(self, addresses, kind, news):
        self.sent.append((tuple(addresses), news.failure_domain))


class ReachTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.pool = Pool(self.clock)
        self.directory = ReplicaDirectory()
        entries = [entry(f"{zone}{n}", zone=zone) for zone in "ab" for n in range(6)]
        self.directory.on_whole(0, entries, after_outage=False)
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
        chosen = [self.chooser.choose(0, Wanted("s")) for _ in range(60)]
        return {choice.replica.entry.failure_domain for choice in chosen}

    async def test_a_domain_that_is_cut_off_is_a_last_resort_at_once(self):
        """Symptom: for seconds after a cut requests waited 350 ms each in vain.

        A failure domain was cut off, and each node sent something to each of its
        replicas before it believed of all of them that they were silent.
        """
        self.silence(*(f"b{n}" for n in range(6)))
        for state in self.directory.of_service("s"):
            state.in_flight = 2 * (state.entry.failure_domain == "a")
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        self.assertEqual(self.directory.unreachable, {"b"})
        self.assertEqual(self.chosen_domains(), {"a"})

    async def test_what_may_be_repeated_does_not_wait_for_a_lost_domain(self):
        """Symptom: requests hung for three seconds after a cut and came late.

        They had reached their replicas just before, which answered into the cut; the
        kernel gave up on the silent connections after its last probe.
        """
        self.silence(*(f"b{n}" for n in range(6)))
        lost, sound = Connection(), Connection()
        with (
            self.task.awaiting(self.directory.find("b3"), lost),
            self.task.awaiting(self.directory.find("a3"), sound),
        ):
            self.on_silent("b0")
            await self.clock.advance_ms(301)
        self.assertEqual((lost.is_closed, sound.is_closed), (True, False))

    async def test_what_has_been_answered_is_left_alone(self):
        self.silence(*(f"b{n}" for n in range(6)))
        connection = Connection()
        with self.task.awaiting(self.directory.find("b3"), connection):
            pass
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        self.assertFalse(connection.is_closed)

    async def test_a_node_that_is_cut_off_finds_all_other_domains_silent_at_once(self):
        """Symptom: requests were sent on twice in a cut and failed the second time.

        A node in the domain that was cut off found one of the others silent; what
        waited there went to the next one, which was as silent.
        """
        entries = [entry(f"c{n}", zone="c") for n in range(6)]
        self.directory.on_changes(0, entries, [], after_outage=False)
        self.silence(*(f"{zone}{n}" for zone in "bc" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(301)
        self.assertEqual(self.directory.unreachable, {"b", "c"})

    async def test_a_second_domain_that_falls_silent_later_is_found_too(self):
        entries = [entry(f"c{n}", zone="c") for n in range(6)]
        self.directory.on_changes(0, entries, [], after_outage=False)
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(200)
        self.silence(*(f"{zone}{n}" for zone in "bc" for n in range(6)))
        self.on_silent("c0")
        await self.clock.advance_ms(151)
        self.assertEqual(self.directory.unreachable, {"b", "c"})

    async def test_it_is_used_again_when_a_connection_comes_about(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(1_000)
        self.assertEqual(self.directory.unreachable, {"b"})
        self.silence()
        await self.clock.advance_ms(450)
        self.assertFalse(self.directory.unreachable)
        self.assertFalse(self.task.tasks)

    async def test_one_dead_replica_says_nothing_of_its_domain(self):
        """Symptom: a whole failure domain stood idle since one replica was dark."""
        self.silence("b0")
        self.on_silent("b0")
        await self.clock.advance_ms(400)
        self.assertFalse(self.directory.unreachable)

    async def test_where_nothing_listens_any_more_the_way_is_sound(self):
        self.pool.refusing = {f"b{n}" for n in range(6)}
        self.on_silent("b0")
        await self.clock.advance_ms(400)
        self.assertFalse(self.directory.unreachable)

    async def test_others_are_told_of_a_lost_domain_once(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        self.on_silent("b1")
        await self.clock.advance_ms(151)
        self.on_silent("b2")
        self.assertEqual(self.link.sent, [((("n2", 1),), "b")])

    async def hear_of_b(self):
        await self.link.handle("n2", type("News", (), {"failure_domain": "b"}))
        await self.clock.advance_ms(151)

    async def test_who_hears_of_it_looks_for_itself_and_tells_nobody(self):
        await self.hear_of_b()
        self.assertFalse(self.directory.unreachable)
        self.silence(*(f"b{n}" for n in range(6)))
        await self.hear_of_b()
        self.assertEqual(self.directory.unreachable, {"b"})
        self.assertEqual(self.link.sent, [])

    async def test_one_dark_replica_is_told_to_nobody(self):
        """Symptom: a dark replica cost hundreds of new connections a second.

        Each node that met it told all others, and each of those tried connections
        into every failure domain.
        """
        self.silence("b0")
        for _ in range(5):
            self.on_silent("b0")
            await self.clock.advance_ms(200)
        self.assertEqual(self.link.sent, [])
        self.assertLessEqual(len(self.pool.tried), 2 * 5)

    async def test_with_no_other_domain_left_it_is_still_used(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        without = frozenset(entry(f"a{n}", zone="a").number for n in range(6))
        self.assertIsNotNone(self.chooser.choose(0, Wanted("s"), without=without))

    async def test_a_domain_of_which_nothing_is_listed_any_more_is_forgotten(self):
        self.silence(*(f"b{n}" for n in range(6)))
        self.on_silent("b0")
        await self.clock.advance_ms(151)
        names = [f"b{n}" for n in range(6)]
        self.directory.on_changes(0, [], names, after_outage=False)
        await self.clock.advance_ms(450)
        self.assertFalse(self.directory.unreachable)


class CheckTests(unittest.TestCase):
    def test_replicas_that_leave_are_not_tried(self):
        directory = ReplicaDirectory()
        entries = [entry("r1"), entry("r2", leaving=True), entry("r3")]
        directory.on_whole(0, entries, after_outage=False)
        directory.on_leaving(directory.find("r3"))
        tried = DomainCheck(seed=1).to_try(directory.all())
        self.assertEqual([state.entry.incarnation for state in tried], ["r1"])
