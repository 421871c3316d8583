"""Streams that a second replica continues while two software versions serve."""

import asyncio
import json
import time
from unittest import mock

import aiohttp

from fireflyward.fleet._peers import NODE_TABLE
from tests.platform_standins import ReplicaBehavior, ReplicaStandIn

from .node_fixtures import KEY, FleetTestCase, event_numbers
from .partition import Cut
from .test_partitioned_nodes import PartitionTestCase

_EVENTS = 12
_EVENTS_BEFORE_LEAVING = 3
_STREAMS = 24
_AT_ONCE_S = 0.5
# A record is told to other nodes some ms after the first event.
_TOLD_S = 0.05
# A version is stored and told to all nodes some ms after it is listed.
_STORED_S = 0.5
_ALL_EVENTS = list(range(1, _EVENTS + 1))
# Half of the streams must go on where new ones begin; here all new ones do.
_MIN_CONTINUED = _STREAMS // 2


class SoftwareVersionTestCase(FleetTestCase):
    """Three nodes, and three engines of each of two software versions."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines:
            self.store.remove("servers", engine.incarnation)
            await engine.stop()
        self.engines = [
            self.new_engine(f"e-{software}-{number}", software)
            for software in ("v1", "v2")
            for number in range(3)
        ]
        for engine in self.engines:
            await engine.start()
            self.addAsyncCleanup(engine.stop)
        self.list_replicas()
        self.stream_number = 0

    def new_engine(self, incarnation, software):
        return ReplicaStandIn(
            incarnation, model="m", events=_EVENTS, pause_s=0.005, software=software
        )

    async def start_nodes(self):
        self.operator.configure()
        for number in range(1, self.node_count + 1):
            if number == 1:
                await self.start_node(self.node, "entry-1")
            else:
                await self.start_additional_node(f"entry-{number}")
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))

    def is_joined(self, node):
        listed = len(node._directory) == len(self.plain) + len(self.engines)
        others = len(node._aggregators.all_addresses())
        return node.is_ready and listed and others == len(self.nodes) - 1

    def stream_headers(self, request_id):
        """Return the headers of a request whose prompt no other request shares."""
        return {
            **KEY,
            "X-Model": "m",
            "X-Token-Usage": "900,12",
            "X-Prompt-Prefix": f"aa{request_id}:500,bb{request_id}:400",
            "X-Deadline-Ms": "5000",
            "X-Request-Id": request_id,
        }

    async def begin(self, node, *, events=_EVENTS_BEFORE_LEAVING):
        """Begin a stream and leave it; return its request id and its software."""
        self.stream_number += 1
        request_id = f"first-{self.stream_number}"
        headers = self.stream_headers(request_id)
        async with self.request("POST", "/s/x", headers=headers, node=node) as response:
            self.assertEqual(response.status, 200)
            lines = []
            while len(lines) < 3 * events:
                lines.append(await response.content.readline())
            response.close()
        (software,) = self.software_of(b"".join(lines))
        return request_id, software

    async def resume(self, node, first_id, *, last=_EVENTS_BEFORE_LEAVING, own="next"):
        """Take a stream up; return status, headers and body."""
        headers = {
            **self.stream_headers(first_id),
            "X-Request-Id": f"{own}-{first_id}",
            "Last-Event-Id": str(last),
            "Resumes": first_id,
        }
        return await self.fetch("POST", "/s/x", headers=headers, node=node)

    def software_of(self, body):
        """Return the software versions of the replicas that wrote some events."""
        return {
            line.split()[2].decode()
            for line in body.split(b"\n")
            if line.startswith(b"data:")
        }

    async def begin_all(self):
        """Begin streams at all nodes in turn."""
        return [
            await self.begin(self.nodes[number % len(self.nodes)])
            for number in range(_STREAMS)
        ]

    async def resume_all(self, begun, *, nodes):
        """Take streams up; return how many went on, all at their version."""
        continued = 0
        for number, (first_id, software) in enumerate(begun):
            node = nodes[number % len(nodes)]
            continued += await self.goes_on(node, first_id, software)
        return continued

    async def goes_on(self, node, first_id, software):
        """Take a stream up; return whether it went on, at its version."""
        status, _, body = await self.resume(node, first_id)
        if status != 200:
            self.assertEqual(status, 503)
            return False
        self.assertEqual(self.software_of(body), {software})
        self.assertEqual(event_numbers(body), _ALL_EVENTS[3:])
        return True

    async def unlist(self, *engines):
        """Remove replicas from the list of all nodes."""
        for engine in engines:
            self.store.remove("servers", engine.incarnation)
        names = {engine.incarnation for engine in engines}
        await self.until(
            lambda: (
                not any(
                    node._directory.find(name) for node in self.nodes for name in names
                )
            )
        )


class ResumedStreamTests(SoftwareVersionTestCase):
    """Callers that leave after some events and take their streams up elsewhere."""

    async def test_a_caller_resumes_at_the_version_that_began(self):
        """Guards against a stream that a caller takes up at another version."""
        await self.start_nodes()
        begun = await self.begin_all()
        await self.unlist(self.engines[0], self.engines[3])
        nodes = self.nodes[1:] + self.nodes[:1]
        continued = await self.resume_all(begun, nodes=nodes)
        self.assertGreaterEqual(continued, _MIN_CONTINUED)

    async def test_streams_whose_version_is_gone_are_rejected_at_once(self):
        """Guards against a stream that goes on at the only version left."""
        await self.start_nodes()
        begun = await self.begin_all()
        await self.unlist(*self.engines[:3])
        for replica in self.engines:
            replica.executed_requests.clear()
        for number, (first_id, software) in enumerate(begun):
            node = self.nodes[(number + 1) % 3]
            started_s = time.monotonic()
            status, headers, body = await self.resume(node, first_id)
            if software == "v1":
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
                self.assertLess(time.monotonic() - started_s, _AT_ONCE_S)
            else:
                self.assertEqual((status, self.software_of(body)), (200, {"v2"}))
        gone = [first_id for first_id, software in begun if software == "v1"]
        for replica in self.engines:
            for request in replica.executed_requests:
                self.assertNotIn(request.headers.get("resumes"), gone)

    async def test_a_stream_outlives_the_node_at_which_it_began(self):
        """Guards against streams that nobody knows once their first node is gone."""
        await self.start_nodes()
        begun = [await self.begin(self.nodes[2]) for _ in range(_STREAMS)]
        await asyncio.sleep(_TOLD_S)
        await self.nodes.pop().stop()
        await self.unlist(self.engines[0], self.engines[3])
        continued = await self.resume_all(begun, nodes=self.nodes)
        self.assertGreaterEqual(continued, _MIN_CONTINUED)

    async def test_streams_from_before_the_second_version_are_known(self):
        """Guards against streams told to nobody, since one version served then."""
        for engine in self.engines[3:]:
            self.store.remove("servers", engine.incarnation)
        self.engines, late = self.engines[:3], self.engines[3:]
        await self.start_nodes()
        begun = [await self.begin(self.nodes[2]) for _ in range(_STREAMS)]
        self.engines += late
        self.list_replicas()
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))
        await asyncio.sleep(_TOLD_S)
        await self.nodes.pop().stop()
        await self.unlist(self.engines[0])
        continued = await self.resume_all(begun, nodes=self.nodes)
        self.assertGreaterEqual(continued, _MIN_CONTINUED)

    async def test_a_chain_of_tries_keeps_the_first_version(self):
        """Guards against a third try that follows the second one's replica only."""
        await self.start_nodes()
        for number in range(_STREAMS):
            first_id, software = await self.begin(self.nodes[number % 3])
            for step, last in enumerate((5, 8), 1):
                node = self.nodes[(number + step) % 3]
                status, _, body = await self.resume(
                    node, first_id, last=last, own=f"try{step}"
                )
                self.assertEqual(status, 200)
                self.assertEqual(self.software_of(body), {software})

    async def test_a_stream_that_no_node_knows_is_rejected(self):
        """Guards against a guess while several versions serve."""
        await self.start_nodes()
        status, headers, _ = await self.resume(self.node, "never-begun")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(self.run_count(self.engines), 0)

    async def test_a_node_that_has_just_started_knows_of_versions_that_left(self):
        """Guards against the only listed version taken for that of all streams."""
        await self.start_nodes()
        key = "software/engines"
        await self.until(lambda: self.store.value(NODE_TABLE, key) is not None)
        await self.unlist(*self.engines[:3])
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.engines = self.engines[3:]
        self.nodes = []
        self.node = await self.start_additional_node("entry-9")
        await self.until(lambda: self.node.is_ready and len(self.node._directory) == 5)
        status, _, _ = await self.resume(self.node, "lost-with-all-nodes")
        self.assertEqual(status, 503)
        self.assertEqual(self.run_count(self.engines), 0)

    async def test_a_replica_with_other_software_under_the_same_name_is_not_used(self):
        """Guards against a list that is behind a replica's restart."""
        await self.start_nodes()
        begun = await self.begin_all()
        await self.unlist(self.engines[1], self.engines[2])
        # The only listed replica of v1 restarts with v2 under its name.
        self.engines[0].restart(software="v2")
        for number, (first_id, software) in enumerate(begun):
            status, _, body = await self.resume(self.nodes[(number + 1) % 3], first_id)
            if software == "v1":
                self.assertEqual(status, 503)
            else:
                self.assertEqual(self.software_of(body), {"v2"})

    async def test_a_stream_begins_at_the_version_that_is_recorded(self):
        """Guards against new streams at a replica with other software than listed."""
        await self.start_nodes()
        for engine in self.engines[:3]:
            for writer in engine._writers:
                writer.transport.abort()
            engine.restart(software="v10")
        await self.unlist(*self.engines[4:])
        begun = await self.begin_all()
        self.assertEqual({software for _, software in begun}, {"v2"})


class StoredVersionTests(SoftwareVersionTestCase):
    """The second version appears while the nodes run, and have not just started."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch("fireflyward.streams._rows._START_PAUSE_MS", 0)
        patch.start()
        self.addCleanup(patch.stop)
        self.engines, self.late = self.engines[:3], self.engines[3:]
        for engine in self.late:
            self.store.remove("servers", engine.incarnation)

    async def start_nodes(self):
        await super().start_nodes()
        streams = [node._replica_components.streams for node in self.nodes]
        await self.until(
            lambda: all(each.stored.of("engines") == {"v1"} for each in streams)
        )

    async def list_late(self):
        """List the second version, and wait until all nodes have read that."""
        self.engines += self.late
        self.list_replicas()
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))

    async def test_a_version_is_stored_before_a_stream_begins_there(self):
        """Guards against a version that is forgotten with all nodes."""
        await self.start_nodes()
        begun_unstored = []

        def check(service, account, request_id, software):
            stored = json.loads(self.store.value(NODE_TABLE, f"software/{service}"))
            if software not in stored["versions"]:
                begun_unstored.append(software)

        for node in self.nodes:
            node._replica_components.streams.on_begun = check
        self.engines += self.late
        self.list_replicas()
        begun = [software for _, software in await self.begin_all()]
        while "v2" not in begun:
            begun += [software for _, software in await self.begin_all()]
        self.assertEqual(begun_unstored, [])

    async def test_streams_begin_at_old_versions_while_the_store_is_away(self):
        """Guards against a version of which no row tells, since no write succeeds."""
        await self.start_nodes()
        self.store.refuses_writes = True
        await self.list_late()
        begun = await self.begin_all()
        self.assertEqual({software for _, software in begun}, {"v1"})

    async def test_streams_begin_anywhere_if_no_stored_version_is_left(self):
        """Guards against callers that are rejected for as long as the store is away."""
        await self.start_nodes()
        self.store.refuses_writes = True
        old, self.engines = self.engines, []
        await self.list_late()
        await self.unlist(*old)
        all_streams = [node._replica_components.streams for node in self.nodes]
        for streams in all_streams:
            self.assertEqual(streams.begins_at("engines"), frozenset())
        await self.until(
            lambda: all(each.begins_at("engines") is None for each in all_streams)
        )
        begun = await self.begin_all()
        self.assertEqual({software for _, software in begun}, {"v2"})

    async def test_all_nodes_use_a_new_version_within_a_moment(self):
        """Guards against a version that is unused until the nodes' table is read."""
        await self.start_nodes()
        await self.list_late()
        await asyncio.sleep(_STORED_S)
        for node in self.nodes:
            streams = node._replica_components.streams
            self.assertIsNone(streams.begins_at("engines"))


class RollingRestartTests(SoftwareVersionTestCase):
    """Nine nodes, of which eight are started anew one by one."""

    node_count = 9

    async def start_anew(self, number):
        """Stop a node, and start one with its name that has no records."""
        name = f"entry-{number + 1}"
        await self.nodes.pop(number).stop()
        await self.start_additional_node(name)
        self.nodes.insert(number, self.nodes.pop())
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))

    async def test_streams_outlive_nodes_that_stop_in_order(self):
        """Guards against records that all their holders lost, one after the other."""
        await self.start_nodes()
        nodes = [self.nodes[number % self.node_count] for number in range(_STREAMS)]
        begun = await asyncio.gather(*map(self.begin, nodes))
        await asyncio.sleep(_TOLD_S)
        for number in range(1, self.node_count):
            await self.start_anew(number)
        await self.unlist(self.engines[0], self.engines[3])
        nodes = [self.nodes[number % self.node_count] for number in range(_STREAMS)]
        going_on = await asyncio.gather(
            *(
                self.goes_on(node, *begin)
                for node, begin in zip(nodes, begun, strict=True)
            )
        )
        self.assertGreaterEqual(sum(going_on), _MIN_CONTINUED)


class SingleVersionTests(SoftwareVersionTestCase):
    """All replicas have one software version."""

    def new_engine(self, incarnation, software):
        return super().new_engine(incarnation.replace("v2", "v1-b"), "v1")

    async def test_a_stream_that_no_node_knows_goes_on(self):
        """Guards against streams that are lost with their node without need."""
        await self.start_nodes()
        status, _, body = await self.resume(self.node, "of-a-lost-node")
        self.assertEqual(status, 200)
        self.assertEqual(event_numbers(body), _ALL_EVENTS[3:])

    async def test_nothing_is_told_and_one_row_is_stored_once(self):
        """Guards against messages and calls while one version serves."""
        await self.start_nodes()
        key = "software/engines"
        await self.until(lambda: self.store.value(NODE_TABLE, key) is not None)
        written = self.store._rows[NODE_TABLE, "", key]["ver"]
        await self.begin_all()
        self.assertFalse(
            any(node._replica_components.streams._untold for node in self.nodes)
        )
        row = self.store._rows[NODE_TABLE, "", key]
        self.assertEqual(self.store.value(NODE_TABLE, key), b'{"versions":["v1"]}')
        self.assertEqual(row["ver"], written)
        for node in self.nodes:
            self.assertEqual(node._replica_components.streams.asked, 0)


class ContinuedAnswerTests(SoftwareVersionTestCase):
    """Replicas that break off inside an event, so that a node goes on by itself."""

    async def test_an_answer_continues_at_the_version_that_began(self):
        """Guards against one answer with events of two versions."""
        await self.start_nodes()
        complete = 0
        for number in range(_STREAMS):
            # The list is shared, so only the first replica breaks the stream off.
            behaviors = [ReplicaBehavior.TRUNCATES_STREAM]
            for engine in self.engines:
                engine.behaviors = behaviors
            node = self.nodes[number % len(self.nodes)]
            headers = self.stream_headers(f"broken-{number}")
            try:
                _, _, body = await self.fetch(
                    "POST", "/s/x", headers=headers, node=node
                )
            except aiohttp.ClientError:
                continue
            complete += event_numbers(body) == _ALL_EVENTS
            self.assertEqual(len(self.software_of(body)), 1)
        self.assertGreaterEqual(complete, _MIN_CONTINUED)


class RelayedStreamTests(SoftwareVersionTestCase, PartitionTestCase):
    """A node that reaches replicas through other nodes only."""

    async def test_a_stream_is_resumed_through_a_tunnel_at_its_version(self):
        """Guards against a tunnel to a replica that nobody asked for its version."""
        await self.start_nodes()
        begun = [await self.begin(self.nodes[1]) for _ in range(_STREAMS)]
        self.partition.begin(("entry-1",), self.engines, Cut.REFUSED)
        continued = await self.resume_all(begun, nodes=self.nodes[:1])
        self.assertGreaterEqual(continued, _MIN_CONTINUED)

    async def test_a_stream_of_a_node_without_a_link_is_not_guessed(self):
        """Guards against a guess where the node that knows cannot be asked."""
        await self.start_nodes()
        self.nodes[2]._replica_components.streams._link = None
        first_id, _ = await self.begin(self.nodes[2])
        status, _, _ = await self.resume(self.nodes[0], first_id)
        self.assertEqual(status, 503)
