"""Replicas that break off in the middle of an answer, through a whole node."""

from dataclasses import dataclass

import aiohttp

from tests.platform_standins import ReplicaStandIn, reset

from .node_fixtures import KEY, STREAM, NodeTestCase, event_numbers
from .partition import Cut
from .test_partitioned_nodes import PartitionTestCase

_UNSAFE = {**KEY, "X-Deadline-Ms": "5000"}
_BODY = b"a whole body"
_EVENTS = [b"id: %d\ndata: a\n\n" % number for number in (1, 2, 3)]
_STEP_BYTES = 5
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """The rest of an answer after its own headers, and how it ends."""

    rest: bytes
    size: int | None = None
    resets: bool = False
    status: int = 200


PLAIN_RESTS = {
    "length": b"Content-Length: %d\r\n\r\n" % len(_BODY) + _BODY,
    "chunks": _CHUNKED + chunk(_BODY) + b"0\r\n\r\n",
}
STREAM_REST = _CHUNKED + b"".join(map(chunk, _EVENTS)) + b"0\r\n\r\n"


def cuts(rest):
    """Return parts of an answer, which differ by some bytes."""
    for size in range(0, len(rest), _STEP_BYTES):
        for resets in (False, True):
            yield CutAnswer(rest, size, resets)


class CuttingReplica(ReplicaStandIn):
    """Breaks off its next answers as ``cut_answers`` say."""

    cut_answers = ()

    async def _plain(self, request, writer, behavior, own_headers):
        if not self.cut_answers:
            return await super()._plain(request, writer, behavior, own_headers)
        return await self._cut(writer, own_headers)

    async def _stream(self, request, writer, behavior, own_headers):
        if not self.cut_answers:
            return await super()._stream(request, writer, behavior, own_headers)
        own_headers = [*own_headers, ("Content-Type", "text/event-stream")]
        return await self._cut(writer, own_headers)

    async def _cut(self, writer, own_headers):
        answer = self.cut_answers.pop(0)
        lines = [f"HTTP/1.1 {answer.status} OK"]
        lines += [f"{name}: {value}" for name, value in own_headers]
        head = "".join(f"{line}\r\n" for line in lines).encode()
        writer.write(head + answer.rest[: answer.size])
        await writer.drain()
        if answer.resets:
            reset(writer)
        return False


class CutAnswersCase(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for group in (self.plain, self.engines):
            for index, replica in enumerate(group):
                await replica.stop()
                group[index] = CuttingReplica(replica.incarnation, model=replica.model)
                await group[index].start()
        self.list_replicas()
        self.paths = 0

    def cut(self, replicas, *answers):
        """Let the next answers of a group of replicas break off."""
        shared = list(answers)
        for replica in replicas:
            replica.executed_requests.clear()
            replica.cut_answers = shared

    async def ask(self, method, kind, headers):
        """Return status and body of a complete answer, None if it is incomplete."""
        self.paths += 1
        try:
            status, headers, body = await self.fetch(
                method, f"/{kind}/{self.paths}", headers=headers
            )
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
            return None, b""
        if status != 204:
            self.assertTrue({"Content-Length", "Transfer-Encoding"} & set(headers))
        return status, body


class CutAnswersTests(CutAnswersCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.operator.configuration["routes"][0]["resumable"] = False
        await self.start_ready()

    async def test_a_plain_answer_that_breaks_off_is_sent_again_or_fails(self):
        """Guards against 200 with a part of a replica's body."""
        for name, rest in PLAIN_RESTS.items():
            for answer in cuts(rest):
                for method, headers in (("GET", KEY), ("POST", _UNSAFE)):
                    kind = "r" if method == "GET" else "w"
                    with self.subTest(name, answer=answer, method=method):
                        self.cut(self.plain, answer)
                        status, body = await self.ask(method, kind, headers)
                        if status == 200:
                            self.assertEqual(method, "GET")
                            self.assertTrue(body.startswith(b"answer of"), body)
                        else:
                            self.assertGreaterEqual(status, 500)

    async def test_a_stream_that_breaks_off_does_not_look_complete(self):
        """Guards against a stream that ends as complete before its last event."""
        for answer in cuts(STREAM_REST):
            with self.subTest(answer=answer):
                self.cut(self.engines, answer)
                status, _ = await self.ask("POST", "s", STREAM)
                self.assertNotEqual(status, 200)

    async def test_an_answer_that_ends_after_its_head_is_sent_again(self):
        """Guards against 200 with an empty body, of a replica that stopped."""
        self.cut(self.plain, CutAnswer(b"\r\n"))
        status, body = await self.ask("GET", "r", KEY)
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"answer of"), body)
        self.assertEqual(self.run_count(self.plain), 2)

    async def test_an_unsafe_answer_that_ends_after_its_head_fails(self):
        """Guards against 200 with an empty body for a request that may run once."""
        self.cut(self.plain, CutAnswer(b"\r\n"))
        status, _ = await self.ask("POST", "w", _UNSAFE)
        self.assertEqual((status, self.run_count(self.plain)), (502, 1))

    async def test_no_replica_finishes_its_answer(self):
        """Guards against an incomplete answer that passes since it was the last."""
        self.cut(self.plain, *[CutAnswer(b"\r\n")] * 9)
        status, _ = await self.ask("GET", "r", KEY)
        self.assertEqual(status, 502)

    async def test_empty_answers_whose_end_is_declared_are_complete(self):
        """Guards against an answer that is withheld since it has no body."""
        for status, rest in (
            (200, b"Content-Length: 0\r\n\r\n"),
            (200, _CHUNKED + b"0\r\n\r\n"),
            (204, b"\r\n"),
            (404, b"\r\n"),
        ):
            with self.subTest(status=status, rest=rest):
                self.cut(self.plain, CutAnswer(rest, status=status))
                found = await self.ask("GET", "r", KEY)
                self.assertEqual(found, (status, b""))

    async def test_a_body_whose_end_is_not_declared_is_delivered_as_it_came(self):
        self.cut(self.plain, CutAnswer(b"\r\n" + _BODY))
        self.assertEqual(await self.ask("GET", "r", KEY), (200, _BODY))

    async def test_a_stream_that_ends_after_its_head_fails(self):
        """Guards against a stream without an event that looks complete."""
        self.cut(self.engines, CutAnswer(b"\r\n"))
        status, _ = await self.ask("POST", "s", STREAM)
        self.assertEqual((status, self.run_count(self.engines)), (502, 1))

    async def test_a_stream_without_an_event_whose_end_is_declared_is_complete(self):
        self.cut(self.engines, CutAnswer(_CHUNKED + b"0\r\n\r\n"))
        self.assertEqual(await self.ask("POST", "s", STREAM), (200, b""))


class ResumedCutAnswersTests(CutAnswersCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.operator.configuration["routes"][0]["resumable"] = True
        await self.start_ready()

    async def test_a_stream_that_ends_after_its_head_goes_on_elsewhere(self):
        """Guards against a stream without an event that looks complete."""
        self.cut(self.engines, CutAnswer(b"\r\n"))
        status, body = await self.ask("POST", "s", STREAM)
        self.assertEqual((status, event_numbers(body)), (200, [1, 2, 3, 4]))

    async def test_a_resumed_stream_that_ends_after_its_head_is_incomplete(self):
        """Guards against an end mark after a replica that added no event."""
        part = CutAnswer(_CHUNKED + chunk(_EVENTS[0]))
        self.cut(self.engines, part, *[CutAnswer(b"\r\n")] * 9)
        status, _ = await self.ask("POST", "s", STREAM)
        self.assertIsNone(status)

    async def test_a_stream_that_breaks_off_is_resumed(self):
        """Guards against a missing or doubled event after a broken answer."""
        for answer in cuts(STREAM_REST):
            with self.subTest(answer=answer):
                self.cut(self.engines, answer)
                status, body = await self.ask("POST", "s", STREAM)
                if status == 200:
                    self.assertEqual(event_numbers(body), [1, 2, 3, 4])


class RelayedCutAnswersTests(CutAnswersCase, PartitionTestCase):
    """The node reaches no replica, so all its requests are relayed."""

    node_count = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.replicas = [*self.plain, *self.engines]
        self.operator.configuration["routes"][0]["resumable"] = False
        await self.start_nodes()
        self.partition.begin(("entry-1",), self.replicas, Cut.REFUSED)
        await self.ask("GET", "r", KEY)
        await self.ask("POST", "s", STREAM)

    async def test_no_part_of_an_answer_looks_complete(self):
        """Guards against 200 with a part of an answer that came through a relay."""
        for answer in (*map(CutAnswer, (b"", b"\r\n")), *cuts(PLAIN_RESTS["chunks"])):
            with self.subTest("plain", answer=answer):
                self.cut(self.plain, answer)
                status, _ = await self.ask("POST", "w", _UNSAFE)
                self.assertGreaterEqual(status, 500)
        for answer in (*map(CutAnswer, (b"", b"\r\n")), *cuts(STREAM_REST)):
            with self.subTest("stream", answer=answer):
                self.cut(self.engines, answer)
                status, _ = await self.ask("POST", "s", STREAM)
                self.assertNotEqual(status, 200)
