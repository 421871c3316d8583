"""Streams that a second replica continues while two software versions serve."""

import aiohttp

from tests.platform_standins import ReplicaBehavior, ReplicaStandIn

from .node_fixtures import KEY, FleetTestCase, event_numbers

_EVENTS = 12
_EVENTS_BEFORE_LEAVING = 3
_STREAMS = 24
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
            line.split(b"-")[1].decode()
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
        """Take streams up at other nodes; return how many went on, all at their version."""
        continued = 0
        for number, (first_id, software) in enumerate(begun):
            status, _, body = await self.resume(nodes[number % len(nodes)], first_id)
            if status == 200:
                continued += 1
                self.assertEqual(self.software_of(body), {software})
                self.assertEqual(event_numbers(body), _ALL_EVENTS[3:])
            else:
                self.assertEqual(status, 503)
        return continued

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
