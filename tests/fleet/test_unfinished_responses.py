"""What a caller receives of a response that the node does not finish, as raw bytes."""

import asyncio
import signal
import tempfile
from unittest import mock

from tests.platform_standins import ReplicaBehavior, ReplicaStandIn, response
from tests.soak._nodes import NodeProcess

from .node_fixtures import STREAM, NodeTestCase

_LIMIT_S = 20
_LAST_CHUNK = b"0\r\n\r\n"
_SEND_EVENT = "fireflyward.fleet._caller_reply.CallerReply.send_event"


class RawCallerCase(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.operator.configuration["routes"][0]["resumable"] = False

    @property
    def port(self):
        return int(self.node.callers_address.split(":")[1])

    async def send(self, line, fields):
        """Send a request; return the stream of all that the node answers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        lines = [f"{name}: {value}" for name, value in fields.items()]
        lines = [line, "Host: h.example", "X-Request-Id: q1", *lines, "", ""]
        writer.write("\r\n".join(lines).encode())
        return reader

    async def read_all(self, reader):
        """Return all bytes until the node ends the connection, in order or not."""
        data = b""
        async with asyncio.timeout(_LIMIT_S):
            try:
                while part := await reader.read(65_536):
                    data += part
            except ConnectionError:
                pass
        return data

    async def stream(self):
        reader = await self.send("POST /s/x HTTP/1.1", STREAM)
        async with asyncio.timeout(_LIMIT_S):
            begin = await reader.readuntil(b"id: 1\n")
        self.assertIn(b"chunked", begin)
        return reader


class UnfinishedResponseTests(RawCallerCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_ready()
        streams = self.node._replica_components.streams
        await self.until(lambda: streams.begins_at("engines") is None)

    async def test_a_stream_that_breaks_off_at_its_replica(self):
        """Guards against a last chunk after a replica that did not finish."""
        for behavior in (
            ReplicaBehavior.TRUNCATES_STREAM,
            ReplicaBehavior.UNFRAMED_RESET,
            ReplicaBehavior.UNFRAMED_TRUNCATED,
        ):
            with self.subTest(behavior):
                for engine in self.engines:
                    engine.behaviors = [behavior]
                rest = await self.read_all(await self.stream())
                self.assertNotIn(_LAST_CHUNK, rest)

    async def test_a_stream_that_is_cut_by_the_end_of_a_stop(self):
        """Guards against a last chunk from a node that stops in the middle."""
        for engine in self.engines:
            engine._pause_s, engine._events = 0.1, 10_000
        reader = await self.stream()
        stopping = asyncio.create_task(self.stop_node())
        rest = await self.read_all(reader)
        await stopping
        self.assertIn(b"id: 2\n", rest)
        self.assertNotIn(_LAST_CHUNK, rest)

    async def test_a_stream_whose_node_fails_in_the_middle(self):
        """Guards against a last chunk after an unexpected exception."""
        with mock.patch(_SEND_EVENT, side_effect=ValueError("no event")):
            with self.assertLogs("fireflyward.callers", "ERROR"):
                reader = await self.send("POST /s/x HTTP/1.1", STREAM)
                data = await self.read_all(reader)
        self.assertNotIn(_LAST_CHUNK, data)

    async def test_a_plain_answer_to_a_caller_of_http_1_0(self):
        """Guards against a part of a body that ends with the connection."""
        fields = {"Authorization": "Bearer key-1"}
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.TRUNCATES] * 5
        data = await self.read_all(await self.send("POST /w/x HTTP/1.0", fields))
        self.assertTrue(data.startswith(b"HTTP/1.0 502"), data)
        self.assertIn(b"content-length:", data.lower())
        for replica in self.plain:
            replica.behaviors = []
        data = await self.read_all(await self.send("POST /w/x HTTP/1.0", fields))
        self.assertIn(b"content-length:", data.lower())
        self.assertIn(b"answer of p-", data)

    async def test_a_stream_for_a_caller_of_http_1_0_does_not_run(self):
        """Guards against a run whose events no caller can tell from a part of them."""
        data = await self.read_all(await self.send("POST /s/x HTTP/1.0", STREAM))
        self.assertTrue(data.startswith(b"HTTP/1.0 400"), data)
        self.assertEqual(self.run_count(self.engines), 0)


class LargeAnswers(ReplicaStandIn):
    """Answers with a body that does not fit into the buffers of sockets."""

    size = 15 << 20

    async def _plain(self, request, writer, behavior, own_headers):
        writer.write(response(200, b"x" * self.size, own_headers))
        return True


class KilledNodeTests(RawCallerCase):
    """The node is a process of its own."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The node of the fixture is not started.
        self.stopped = True
        for index, replica in enumerate(self.plain):
            await replica.stop()
            self.plain[index] = LargeAnswers(replica.incarnation)
            await self.plain[index].start()
        for engine in self.engines:
            engine._pause_s, engine._events = 0.05, 10_000
        self.list_replicas()
        self.operator.configure()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.process = NodeProcess("entry-1", folder, self.store.address, "a")
        await self.process.start()
        self.addAsyncCleanup(self.process.kill)
        async with asyncio.timeout(_LIMIT_S):
            while not await self.process.is_ready():
                await asyncio.sleep(0.05)

    @property
    def port(self):
        return self.process.ports[0]

    async def test_a_killed_node_finishes_no_response(self):
        """Guards against a part of a response that its end makes look complete."""
        stream = await self.stream()
        fields = {"Authorization": "Bearer key-1"}
        plain = await self.send("POST /w/x HTTP/1.1", fields)
        async with asyncio.timeout(_LIMIT_S):
            head = await plain.readuntil(b"\r\n\r\n")
        self.assertIn(b"content-length: %d" % LargeAnswers.size, head.lower())
        self.process.signal(signal.SIGKILL)
        self.assertNotIn(_LAST_CHUNK, await self.read_all(stream))
        self.assertLess(len(await self.read_all(plain)), LargeAnswers.size)

    async def test_a_node_whose_stop_takes_too_long_finishes_no_stream(self):
        """Guards against a last chunk at the end of the grace period."""
        stream = await self.stream()
        self.process.signal(signal.SIGTERM)
        rest = await self.read_all(stream)
        self.assertEqual(await self.process.wait_for_exit(), 0)
        self.assertNotIn(_LAST_CHUNK, rest)
