"""Records of streams while nodes stop, end and start, over links in memory."""

import asyncio
import functools
import types
import unittest
from collections import Counter
from unittest import mock

from fireflyward.aggregators import Member
from fireflyward.backing import Position
from fireflyward.clock import ManualClock
from fireflyward.peers._codec import pack
from fireflyward.replicas import ListConfirmation
from fireflyward.streams import (
    Began,
    StreamTask,
    UnknownStream,
    choose_holders,
    stream_key,
)
from fireflyward.streams._streams_structs import StreamAnswer
from fireflyward.streams._task import BEFORE_STARTS, ONLY_VERSION
from fireflyward.streams._versions import STREAM_LIFETIME_MS

_STREAMS = 40
_MAX_BODY_BYTES = 1_250


class _Link:
    """Delivers datagrams to the links of a fleet, by their address."""

    def __init__(self, fleet, name, address):
        self.fleet = fleet
        self.name = name
        self.address = address
        self.handler_by_kind = {}

    def register(self, kind, struct_type, handle):
        self.handler_by_kind[kind] = handle

    def send_all(self, addresses, kind, message):
        if self.name in self.fleet.older and isinstance(message, StreamAnswer):
            message = StreamAnswer(message.number, message.software, message.versions)
        self.fleet.longest_body = max(self.fleet.longest_body, len(pack(message)))
        for address in addresses:
            self.fleet.sent[kind] += 1
            link = self.fleet.link_by_address.get(address)
            if link is not None and not self.fleet.is_lost(self.name, link.name):
                self.fleet.deliver(link.handler_by_kind[kind](self.name, message))
        return True


class _Fleet:
    """Nodes with tasks of streams; no node reads the list of nodes again.

    Each node sees the addresses as they were when it started, and reads the versions in
    ``stored``, unless that is None. Nodes that are ``older`` answer as those of the
    software that stored no versions. Nodes that are ``out_of_step`` neither reach the
    store nor exchange messages with the others.
    """

    def __init__(self, count, *, versions=("v1", "v2")):
        self.clock = ManualClock()
        self.versions = versions
        self.stored = frozenset(versions)
        self.older = set()
        self.out_of_step = set()
        self.reads = 0
        self._directory_by_name = {}
        self._stored_writes = 1
        self.sent = Counter()
        self.longest_body = 0
        self.link_by_address = {}
        self.member_by_name = {}
        self.task_by_name = {}
        self._deliveries = set()
        self._ports = iter(range(1, 10_000))
        self.names = [f"n{number}" for number in range(count)]
        for name in self.names:
            self.member_by_name[name] = self.new_member(name)
        for name in self.names:
            self.start(name)

    def deliver(self, handling):
        task = asyncio.get_running_loop().create_task(handling)
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    def new_member(self, name):
        domain = f"d{self.names.index(name) % 3}"
        return Member(name, domain, ("127.0.0.1", next(self._ports)), 100.0)

    def start(self, name):
        """Start a node that has no records."""
        own = self.member_by_name[name]
        others = [item for item in self.member_by_name.values() if item is not own]
        directory = self._directory_by_name[name] = types.SimpleNamespace()
        self._read_list(name)
        task = StreamTask(
            clock=self.clock,
            directory=directory,
            node=own,
            members=lambda: others,
            responsive_members=lambda now_ms: [
                item for item in others if item.name in self.task_by_name
            ],
        )
        link = self.link_by_address[own.address] = _Link(self, name, own.address)
        task.use(link)
        self.task_by_name[name] = task
        if self.stored is not None:
            task.versions.on_told(self.clock.now_ms(), "s", self.stored)
            position = Position(0, self._stored_writes)
            task.stored.on_read({"s": self.stored}, {"s": position}, is_full=True)
        task.read_stored = functools.partial(self._read_stored, task, name)
        task.on_list()

    def _read_list(self, name):
        entries = [
            types.SimpleNamespace(service="s", software=version)
            for version in self.versions
        ]
        directory = self._directory_by_name[name]
        directory.confirmation = ListConfirmation(self.clock.now_ms())
        directory.all = lambda: [
            types.SimpleNamespace(entry=entry, is_leaving=False) for entry in entries
        ]

    async def _read_stored(self, task, name):
        self.reads += 1
        if name in self.out_of_step or self.stored is None:
            return False
        position = Position(0, self._stored_writes)
        task.versions.on_told(self.clock.now_ms(), "s", self.stored)
        task.stored.on_read({"s": self.stored}, {"s": position}, is_full=False)
        return True

    def is_lost(self, sender, receiver):
        """Return whether a message between two nodes is lost."""
        return (sender in self.out_of_step) != (receiver in self.out_of_step)

    def list_versions(self, *versions):
        """List and store other versions; nodes that are out of step read neither."""
        self.versions = versions
        self.stored |= set(versions)
        self._stored_writes += 1
        position = Position(0, self._stored_writes)
        for name, task in self.task_by_name.items():
            if name not in self.out_of_step:
                self._read_list(name)
                task.stored.on_written("s", self.stored, position)
                task.on_list()

    async def end_all(self, *, versions, stored):
        """End all nodes at once, and start them again with other versions listed."""
        for name in self.names:
            self.end(name)
        self.versions, self.stored = versions, stored
        for name in self.names:
            self.start(name)
        await self.settle()

    async def stop(self, name):
        await self.task_by_name[name].hand_over()
        await self.settle()
        self.end(name)

    def end(self, name):
        """End a node without a chance to hand anything over."""
        del self.task_by_name[name]
        del self.link_by_address[self.member_by_name[name].address]

    async def start_anew(self, name, *, keeps_address=False):
        """Start a node again, as a rule at another address."""
        if not keeps_address:
            self.member_by_name[name] = self.new_member(name)
        self.start(name)
        await self.settle()

    async def settle(self):
        """Wait until all datagrams are handled; nodes handle many records in steps."""
        while self._deliveries:
            await self.clock.advance_ms(1)

    async def begin(self, count):
        """Begin streams at all nodes in turn; return their request ids and versions."""
        begun = {}
        tasks = list(self.task_by_name.values())
        for number in range(count):
            request_id, version = f"q{number}", self.versions[number % 2]
            tasks[number % len(tasks)].on_begun("s", "acme", request_id, version)
            begun[request_id] = version
        await self.clock.advance_ms(10)
        return begun

    async def find(self, name, request_id):
        finding = asyncio.create_task(
            self.task_by_name[name].find("s", "acme", request_id)
        )
        await self.clock.advance_ms(500)
        return await finding


class StreamTaskTests(unittest.IsolatedAsyncioTestCase):
    async def assert_all_known(self, fleet, begun, names):
        # Answers to questions leave records, so each stream is asked for once.
        for number, (request_id, version) in enumerate(begun.items()):
            origin = await fleet.find(names[number % len(names)], request_id)
            self.assertIsInstance(origin, Began)
            self.assertEqual(origin.software, version)

    async def test_records_outlive_all_nodes_stopped_and_started_one_by_one(self):
        """Guards against a stopping node whose records nobody else is to hold."""
        fleet = _Fleet(9)
        begun = await fleet.begin(_STREAMS)
        for name in fleet.names:
            await fleet.stop(name)
            await fleet.start_anew(name)
        await self.assert_all_known(fleet, begun, fleet.names)

    async def test_records_outlive_a_large_fleet_restarted_one_by_one(self):
        """Guards against fleets that need the questions of nodes that have started."""
        fleet = _Fleet(20)
        begun = await fleet.begin(_STREAMS)
        for name in fleet.names:
            await fleet.stop(name)
            await fleet.start_anew(name, keeps_address=True)
        await self.assert_all_known(fleet, begun, fleet.names)

    async def test_records_outlive_nodes_that_stop_and_do_not_return(self):
        fleet = _Fleet(9)
        begun = await fleet.begin(_STREAMS)
        for name in fleet.names[:6]:
            await fleet.stop(name)
        await self.assert_all_known(fleet, begun, fleet.names[6:])

    async def test_records_outlive_all_nodes_ended_and_started_one_by_one(self):
        """Guards against a node that has started and never gets its records back."""
        fleet = _Fleet(9)
        begun = await fleet.begin(_STREAMS)
        for name in fleet.names:
            fleet.end(name)
            await fleet.start_anew(name)
        await self.assert_all_known(fleet, begun, fleet.names)

    async def test_a_record_outlives_nodes_that_end_while_one_holder_lives(self):
        fleet = _Fleet(9)
        begun = await fleet.begin(_STREAMS)
        for name in fleet.names[:2]:
            fleet.end(name)
        await self.assert_all_known(fleet, begun, fleet.names[2:])

    async def test_a_new_node_gets_answers_before_others_list_it(self):
        """Guards against answers that go to the address of a node's former process."""
        fleet = _Fleet(20)
        begun = await fleet.begin(_STREAMS)
        await fleet.stop("n0")
        await fleet.start_anew("n0")
        await self.assert_all_known(fleet, begun, ["n0"])

    async def test_a_copy_does_not_last_longer_than_its_stream(self):
        """Guards against records that grow older than streams by being handed over."""
        fleet = _Fleet(9)
        begun = await fleet.begin(_STREAMS)
        for name in fleet.names:
            await fleet.clock.advance_ms(3_000)
            await fleet.stop(name)
            await fleet.start_anew(name)
        await fleet.clock.advance_ms(STREAM_LIFETIME_MS // 3)
        for number, request_id in enumerate(begun):
            origin = await fleet.find(fleet.names[number % 9], request_id)
            self.assertIsInstance(origin, UnknownStream)

    async def test_nothing_is_sent_while_one_version_serves(self):
        """Guards against messages that a service with one version does not need."""
        fleet = _Fleet(9, versions=("v1", "v1"))
        await fleet.begin(_STREAMS)
        for name in fleet.names:
            await fleet.stop(name)
            await fleet.start_anew(name)
        self.assertEqual(fleet.sent, Counter())

    async def test_nodes_of_large_fleets_do_not_ask_all_others(self):
        fleet = _Fleet(30)
        await fleet.begin(_STREAMS)
        await fleet.start_anew("n0")
        self.assertEqual(fleet.sent["streams.wanted"], 0)

    async def test_many_records_fit_into_datagrams(self):
        """Guards against records that are dropped since a datagram is too long."""
        fleet = _Fleet(3)
        begun = await fleet.begin(1_500)
        await fleet.stop("n0")
        await fleet.start_anew("n0")
        self.assertLess(fleet.longest_body, _MAX_BODY_BYTES)
        records = fleet.task_by_name["n0"].starts
        self.assertEqual(len(records), len(begun))


class LossOfAllNodesTests(unittest.IsolatedAsyncioTestCase):
    """All nodes end at once, and their records with them."""

    async def find_after(self, *, versions, stored, before=("v1", "v1")):
        fleet = _Fleet(9, versions=before)
        begun = await fleet.begin(9)
        await fleet.end_all(versions=versions, stored=stored)
        return fleet, [
            await fleet.find(name, request_id)
            for name, request_id in zip(fleet.names, begun, strict=True)
        ]

    async def test_versions_that_came_meanwhile_do_not_count(self):
        """Guards against streams that are lost though they began at one version."""
        listed = ("v1", "v2")
        _, origins = await self.find_after(versions=listed, stored=frozenset({"v1"}))
        for origin in origins:
            self.assertEqual((origin.software, origin.source), ("v1", BEFORE_STARTS))
            self.assertTrue(origin.has_others)

    async def test_the_version_before_counts_though_another_one_is_listed(self):
        """Guards against a stream that goes on at software that came meanwhile."""
        listed = ("v2", "v2")
        _, origins = await self.find_after(versions=listed, stored=frozenset({"v1"}))
        self.assertEqual({origin.software for origin in origins}, {"v1"})

    async def test_streams_of_two_stored_versions_are_unknown(self):
        stored = frozenset({"v1", "v2"})
        _, origins = await self.find_after(versions=("v2", "v2"), stored=stored)
        for origin in origins:
            self.assertIsInstance(origin, UnknownStream)

    async def test_a_stream_is_unknown_before_the_rows_are_read(self):
        """Guards against a node that serves before it knows what was stored."""
        _, origins = await self.find_after(versions=("v2", "v2"), stored=None)
        for origin in origins:
            self.assertIsInstance(origin, UnknownStream)

    async def test_a_node_that_does_not_answer_may_know_the_stream(self):
        """Guards against a stream that goes on while its record may exist."""
        fleet = _Fleet(9, versions=("v1", "v1"))
        await fleet.end_all(versions=("v1", "v2"), stored=frozenset({"v1"}))
        fleet.end("n8")
        self.assertIsInstance(await fleet.find("n0", "q"), UnknownStream)

    async def test_nodes_of_older_software_do_not_hide_a_single_version(self):
        """Guards against streams that are lost while the nodes are upgraded."""
        fleet = _Fleet(9, versions=("v1", "v1"))
        fleet.older = {"n7", "n8"}
        origins = [await fleet.find("n0", f"q-{number}") for number in range(20)]
        self.assertEqual({origin.software for origin in origins}, {"v1"})

    async def test_nodes_that_outlived_others_do_not_count_what_came_since(self):
        """Guards against a version of a lost node that the others never stored."""
        fleet = _Fleet(9, versions=("v1", "v1"))
        await fleet.clock.advance_ms(STREAM_LIFETIME_MS + 1)
        fleet.versions, fleet.stored = ("v1", "v2"), frozenset({"v1", "v2"})
        for name in fleet.names[:6]:
            fleet.end(name)
        for name in fleet.names[:6]:
            fleet.start(name)
        await fleet.settle()
        for name in fleet.names:
            self.assertIsInstance(await fleet.find(name, f"q-{name}"), UnknownStream)


class OutOfStepTests(unittest.IsolatedAsyncioTestCase):
    """Some nodes miss that a second version joins."""

    def setUp(self):
        self.fleet = _Fleet(9, versions=("v1", "v1"))

    async def find_late(self, *, out_of_step, asked, began_at="n8", after_ms=0):
        """Return where a stream began at v2, by the answer of a node out of step."""
        await self.fleet.clock.advance_ms(STREAM_LIFETIME_MS + 1)
        self.fleet.list_versions("v1", "v1")
        self.fleet.out_of_step = set(out_of_step)
        await self.fleet.clock.advance_ms(after_ms)
        self.fleet.list_versions("v1", "v2")
        request_id = self.id_held_by(out_of_step)
        task = self.fleet.task_by_name[began_at]
        task.on_begun("s", "acme", request_id, "v2")
        await self.fleet.clock.advance_ms(10)
        return await self.fleet.find(asked, request_id)

    def id_held_by(self, names):
        """Return a request id whose holders are among some nodes, if there are any."""
        members = list(self.fleet.member_by_name.values())
        for number in range(1_000):
            key = stream_key("acme", f"q{number}")
            if {item.name for item in choose_holders(key, members)} <= set(names):
                return f"q{number}"
        return "q"

    async def test_a_node_that_nobody_answers(self):
        """Guards against the only version of a list that is older than the stream."""
        origin = await self.find_late(out_of_step=["n0"], asked="n0")
        self.assertIsInstance(origin, UnknownStream)

    async def test_a_node_whose_holders_are_out_of_step_too(self):
        """Guards against answers that are as old as the node's own list."""
        names = ["n0", "n1", "n2", "n3", "n4"]
        origin = await self.find_late(out_of_step=names, asked="n0", after_ms=4_000)
        self.assertIsInstance(origin, UnknownStream)

    async def test_a_node_that_has_returned_and_not_read_its_list(self):
        """Guards against an old list though holders know the stream."""
        await self.find_late(out_of_step=["n0"], asked="n0", after_ms=8_000)
        self.fleet.out_of_step = set()
        self.fleet.task_by_name["n8"].on_begun("s", "acme", "q-late", "v2")
        await self.fleet.clock.advance_ms(10)
        origin = await self.fleet.find("n0", "q-late")
        self.assertEqual(origin.software, "v2")

    async def test_a_version_that_comes_back_within_the_time_of_a_stream(self):
        """Guards against a version that was told before it left and counts no more."""
        await self.fleet.clock.advance_ms(STREAM_LIFETIME_MS + 1)
        task = self.fleet.task_by_name["n0"]
        task.versions.on_told(self.fleet.clock.now_ms(), "s", ["v2"])
        task.stored.on_written("s", frozenset({"v1", "v2"}), Position(0, 7))
        self.fleet.stored = frozenset({"v1", "v2"})
        self.fleet.out_of_step = {"n0"}
        await self.fleet.clock.advance_ms(STREAM_LIFETIME_MS + 1)
        self.assertIsInstance(await self.fleet.find("n0", "q"), UnknownStream)

    async def test_a_stream_of_a_lost_node_goes_on_after_one_read(self):
        """Guards against streams that are lost with their node without need."""
        await self.fleet.clock.advance_ms(STREAM_LIFETIME_MS + 1)
        self.fleet.end("n8")
        for number in range(20):
            origin = await self.fleet.find("n0", f"q{number}")
            self.assertEqual((origin.software, origin.source), ("v1", ONLY_VERSION))

    async def test_nothing_is_read_while_the_holders_are_in_step(self):
        """Guards against a call to the store for each stream that is taken up."""
        await self.fleet.clock.advance_ms(STREAM_LIFETIME_MS + 1)
        self.fleet.list_versions("v1", "v1")
        for number in range(20):
            origin = await self.fleet.find("n0", f"q{number}")
            self.assertEqual((origin.software, origin.source), ("v1", ONLY_VERSION))
            self.fleet.list_versions("v1", "v1")
        self.assertEqual(self.fleet.reads, 0)

    async def test_a_request_without_a_first_one_is_never_decided_by_the_list(self):
        """Guards against an old list where nobody can be asked."""
        self.fleet.out_of_step = {"n0"}
        self.assertIsInstance(await self.fleet.find("n0", None), UnknownStream)
        self.fleet.out_of_step = set()
        origin = await self.fleet.find("n0", None)
        self.assertEqual((origin.software, origin.source), ("v1", ONLY_VERSION))


class DroppedRecordTests(unittest.IsolatedAsyncioTestCase):
    """Nodes that drop records of streams that may still be taken up."""

    async def test_a_stream_whose_records_were_dropped_is_unknown(self):
        """Guards against the version before the starts for streams from after them."""
        with mock.patch("fireflyward.streams._starts._MAX_STREAMS", 8):
            fleet = _Fleet(3, versions=("v1", "v1"))
            fleet.list_versions("v1", "v2")
            fleet.task_by_name["n1"].on_begun("s", "acme", "q-dropped", "v2")
            await fleet.begin(_STREAMS)
            origin = await fleet.find("n2", "q-dropped")
        self.assertIsInstance(origin, UnknownStream)


if __name__ == "__main__":
    unittest.main()
