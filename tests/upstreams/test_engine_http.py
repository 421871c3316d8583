"""Tests of the engine client against the stand-in over real sockets."""

import asyncio
import unittest

import aiohttp.web

from fireflyward.connections import Sessions
from fireflyward.standins import EngineCosts, EngineModel, EngineServer, answer_text
from fireflyward.upstreams import (
    Accepted,
    Broken,
    EngineCall,
    Finished,
    HttpEngine,
    KeepAlive,
    Piece,
    Refused,
)
from tests.platform_standins import json_response

from .raw_upstream import RawUpstream

CALL = EngineCall("r1", "m", "v1", "beam 7?", 6)
EXPECTED_TEXT = answer_text("m", "v1", "", "beam 7?", 6)


class EngineHttpTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        costs = EngineCosts(prefill_ms_per_token=1.0, decode_ms_per_token=1.0)
        self.server = EngineServer(EngineModel({"m": "v1"}, costs))
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.sessions = Sessions()
        self.addAsyncCleanup(self.sessions.close)
        self.engine = HttpEngine(
            self.sessions.pooled, self.server.url, fresh=self.sessions.fresh
        )

    async def events(self, events):
        return [event async for event in events]

    def text(self, events):
        return "".join(event.text for event in events if isinstance(event, Piece))

    async def test_complete_run(self):
        events = await self.events(self.engine.generate(CALL))
        self.assertIsInstance(events[0], Accepted)
        self.assertIsInstance(events[-1], Finished)
        self.assertEqual(self.text(events), EXPECTED_TEXT)

    async def test_interrupted_stream_is_broken_and_can_be_resumed(self):
        self.server.faults.cut_streams, self.server.faults.after_tokens = 1, 2
        events = await self.events(self.engine.generate(CALL))
        self.assertEqual(type(events[-1]), Broken)
        self.assertTrue(events[-1].may_have_run)
        received_tokens = sum(
            event.tokens for event in events if isinstance(event, Piece)
        )
        rest = await self.events(self.engine.resume("r1", received_tokens))
        self.assertEqual(self.text(events) + self.text(rest), EXPECTED_TEXT)

    async def test_stream_of_another_run_yields_none_of_its_tokens(self):
        """Guards against a caller that receives another caller's answer.

        A connection carries the stream of an earlier run. The client must compare the
        run id of each line.
        """
        self.server.faults.crossed_streams = 1
        events = await self.events(self.engine.generate(CALL))
        self.assertEqual([type(event) for event in events], [Broken])

    async def test_a_refusal_of_another_run_proves_nothing(self):
        """Guards against a run that goes on though a late refusal says otherwise."""
        upstream = RawUpstream()
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        engine = HttpEngine(self.sessions.pooled, f"http://{upstream.address}")
        for named in ({}, {"run_id": "r0"}):
            with self.subTest(named):
                body = {"reason": "overloaded", **named}
                upstream.answers = [json_response(body, status=409)]
                (event,) = await self.events(engine.generate(CALL))
                self.assertEqual((type(event), event.may_have_run), (Broken, True))

    async def test_a_refusal_that_names_the_run_is_a_proof(self):
        self.server.model.leaving = True
        (event,) = await self.events(self.engine.generate(CALL))
        self.assertIsInstance(event, Refused)

    async def test_slow_prefill_sends_keepalives(self):
        costs = EngineCosts(prefill_ms_per_token=500.0)
        self.server.model = EngineModel({"m": "v1"}, costs)
        stream = self.engine.generate(CALL)
        self.assertIsInstance(await anext(stream), Accepted)
        self.assertIsInstance(await anext(stream), KeepAlive)
        await stream.aclose()

    async def test_request_on_a_refused_connection_has_not_run(self):
        await self.server.stop()
        (event,) = await self.events(self.engine.generate(CALL))
        self.assertEqual((type(event), event.may_have_run), (Broken, False))

    async def test_resume_succeeds_while_a_pooled_connection_is_silent(self):
        self.server.faults.silent_streams = 1
        stream = self.engine.generate(CALL)
        await anext(stream)
        rest = await self.events(self.engine.resume("r1", 0))
        self.assertEqual(self.text(rest), EXPECTED_TEXT)
        await stream.aclose()

    async def test_body_is_withheld_when_its_permit_has_expired(self):
        """Guards against a non-idempotent run that starts long after it was aborted.

        The process of the node is paused between the check of the permit and the write
        of the request. The permit must be checked again before the write.
        """
        call = EngineCall("r2", "m", "v1", "beam", 6, may_send=lambda: False)
        events = await asyncio.wait_for(self.events(self.engine.generate(call)), 5)
        self.assertEqual([type(event) for event in events], [Broken])
        self.assertFalse(events[0].may_have_run)
        self.assertEqual(self.server.model.run_by_id, {})

    async def test_guarded_run_is_complete(self):
        call = EngineCall("r1", "m", "v1", "beam 7?", 6, may_send=lambda: True)
        events = await self.events(self.engine.generate(call))
        self.assertEqual(self.text(events), EXPECTED_TEXT)


class SocketTests(unittest.IsolatedAsyncioTestCase):
    async def test_fresh_session_never_reuses_a_connection(self):
        client_addresses = []

        async def handle(request):
            client_addresses.append(request.transport.get_extra_info("peername"))
            return aiohttp.web.Response()

        app = aiohttp.web.Application()
        app.router.add_get("/", handle)
        runner = aiohttp.web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
        sessions = Sessions()
        self.addAsyncCleanup(sessions.close)
        for session in (sessions.fresh, sessions.fresh):
            async with session.get(url):
                pass
        self.assertEqual(len(set(client_addresses)), 2)
