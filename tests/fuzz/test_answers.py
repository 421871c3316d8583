"""Arbitrary bytes as answers of upstreams, stores and platform services."""

import asyncio
import json
import unittest

import aiohttp
from hypothesis import given, strategies as st

from fireflyward.backing import (
    Conflict,
    HttpObjects,
    HttpTable,
    HttpVms,
    HttpWeights,
    Unavailable,
    Uncertain,
)
from fireflyward.kept import HttpStore, StoreUnavailable
from fireflyward.upstreams import (
    BlockRef,
    Broken,
    CancelState,
    EngineCall,
    HttpEngine,
    HttpService,
    Refused,
    ServiceCall,
)
from tests.fuzz.profiles import fuzz

TIMEOUT_S = 5
CALL = EngineCall("run", "m", "v1", "prompt", 4)
REF = BlockRef("ab" * 16, "s", 1, 1, 3, "c", 1)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-1, 3) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["offset", "tokens", "text", "done", "versions", "key"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=6,
).map(lambda value: json.dumps(value).encode())
bodies = st.one_of(
    json_values,
    json_values.map(lambda value: b"data: " + value + b"\n\n"),
    st.binary(max_size=60),
)
statuses = st.sampled_from([200, 404, 409, 412, 500, 503, 504])


class FixedResponder:
    """Answers every request with the same bytes and closes the connection."""

    def __init__(self):
        self.answer = b""

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class AnswerTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.runner = cls.enterClassContext(asyncio.Runner())
        cls.responder = FixedResponder()
        cls.runner.run(cls.start())
        cls.addClassCleanup(lambda: cls.runner.run(cls.stop()))

    @classmethod
    async def start(cls):
        cls.server = await asyncio.start_server(cls.responder.serve, "127.0.0.1", 0)
        port = cls.server.sockets[0].getsockname()[1]
        cls.url = f"http://127.0.0.1:{port}"
        cls.session = aiohttp.ClientSession()

    @classmethod
    async def stop(cls):
        await cls.session.close()
        cls.server.close()

    def exchange(self, work, status, body):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.responder.answer = head.encode() + body
        return self.runner.run(asyncio.wait_for(work, TIMEOUT_S))

    @fuzz(60)
    @given(statuses, bodies)
    def test_table(self, status, body):
        table = HttpTable(self.session, self.url)
        self.exchange(table.get("k"), status, body)
        self.exchange(table.scan("k"), status, body)
        work = table.commit(expected={"k": 0}, puts={"k": b""})
        result = self.exchange(work, status, body)
        if status in (500, 504):
            self.assertIsInstance(result, Uncertain)
        if status == 503:
            self.assertIsInstance(result, Unavailable)
        if isinstance(result, Conflict):
            self.assertEqual(status, 409)

    @fuzz(40)
    @given(statuses, bodies)
    def test_other_services_of_the_platform(self, status, body):
        for work in (
            HttpObjects(self.session, self.url).get("n"),
            HttpObjects(self.session, self.url).put("n", b""),
            HttpWeights(self.session, self.url).versions(),
            HttpVms(self.session, self.url).list(),
        ):
            self.exchange(work, status, body)

    @fuzz(80)
    @given(statuses, bodies, st.booleans())
    def test_engine(self, status, body, is_resumed):
        engine = HttpEngine(self.session, self.url)
        stream = engine.resume("run", 0) if is_resumed else engine.generate(CALL)

        async def read():
            return [event async for event in stream]

        events = self.exchange(read(), status, body)
        self.assertTrue(events)
        if status != 200:
            self.assertIsInstance(events[-1], Broken | Refused)
        self.exchange(engine.load(), status, body)
        cancelled = self.exchange(engine.cancel("run"), status, body)
        self.assertIsInstance(cancelled, CancelState)

    @fuzz(40)
    @given(statuses, bodies)
    def test_store(self, status, body):
        store = HttpStore(self.session, "s", self.url)
        self.exchange(store.read(REF), status, body)
        for work in (store.seal((REF,)), store.describe(("ab",)), store.unfinished(1)):
            result = self.exchange(work, status, body)
            if status >= 500:
                self.assertIsInstance(result, StoreUnavailable)

    @fuzz(30)
    @given(st.binary(max_size=120))
    def test_arbitrary_bytes_are_a_broken_answer(self, data):
        self.responder.answer = data
        work = HttpService(self.session, self.url).call(ServiceCall("POST", "/x"))
        result = self.runner.run(asyncio.wait_for(work, TIMEOUT_S))
        self.assertIsInstance(result, Broken)
        self.assertTrue(result.may_have_run)
