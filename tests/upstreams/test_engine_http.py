"""The engine client against the stand-in over real sockets."""

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
)

CALL = EngineCall("r1", "m", "v1", "beam 7?", 6)
WANTED = answer_text("m", "v1", "", "beam 7?", 6)


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

    async def test_whole_run(self):
        events = await self.events(self.engine.generate(CALL))
        self.assertIsInstance(events[0], Accepted)
        self.assertIsInstance(events[-1], Finished)
        self.assertEqual(self.text(events), WANTED)

    async def test_cut_stream_is_broken_and_can_be_resumed(self):
        self.server.faults.cut_streams, self.server.faults.after_tokens = 1, 2
        events = await self.events(self.engine.generate(CALL))
        self.assertEqual(type(events[-1]), Broken)
        self.assertTrue(events[-1].may_have_run)
        got = sum(event.tokens for event in events if isinstance(event, Piece))
        rest = await self.events(self.engine.resume("r1", got))
        self.assertEqual(self.text(events) + self.text(rest), WANTED)

    async def test_crossed_stream_gives_nothing_of_the_other_run(self):
        """Symptom: a caller reads another caller's answer. Sequence: a connection
        carries the stream of an earlier run. Cause: lines were not matched by the
        run that they belong to."""
        self.server.faults.crossed_streams = 1
        events = await self.events(self.engine.generate(CALL))
        self.assertEqual([type(event) for event in events], [Broken])

    async def test_slow_prefill_says_that_it_lives(self):
        costs = EngineCosts(prefill_ms_per_token=500.0)
        self.server.model = EngineModel({"m": "v1"}, costs)
        stream = self.engine.generate(CALL)
        self.assertIsInstance(await anext(stream), Accepted)
        self.assertIsInstance(await anext(stream), KeepAlive)
        await stream.aclose()

    async def test_refused_connection_never_arrived(self):
        await self.server.stop()
        (event,) = await self.events(self.engine.generate(CALL))
        self.assertEqual((type(event), event.may_have_run), (Broken, False))

    async def test_resume_gets_through_while_a_pooled_connection_is_silent(self):
        self.server.faults.silent_streams = 1
        stream = self.engine.generate(CALL)
        await anext(stream)
        rest = await self.events(self.engine.resume("r1", 0))
        self.assertEqual(self.text(rest), WANTED)
        await stream.aclose()

    async def test_body_stays_back_when_its_permit_ran_out(self):
        """Symptom: a non-idempotent run starts long after it was given up.
        Sequence: its process is paused between the check of its permit and the
        writing of the request. Cause: nothing was checked at the last moment."""
        call = EngineCall("r2", "m", "v1", "beam", 6, may_send=lambda: False)
        events = await asyncio.wait_for(self.events(self.engine.generate(call)), 5)
        self.assertEqual([type(event) for event in events], [Broken])
        self.assertFalse(events[0].may_have_run)
        self.assertEqual(self.server.model.run_by_id, {})

    async def test_guarded_run_is_whole(self):
        call = EngineCall("r1", "m", "v1", "beam 7?", 6, may_send=lambda: True)
        events = await self.events(self.engine.generate(call))
        self.assertEqual(self.text(events), WANTED)


class SocketTests(unittest.IsolatedAsyncioTestCase):
    async def test_fresh_session_never_uses_a_connection_twice(self):
        peers = []

        async def handle(request):
            peers.append(request.transport.get_extra_info("peername"))
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
        self.assertEqual(len(set(peers)), 2)
