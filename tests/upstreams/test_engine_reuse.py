import unittest

import aiohttp

from fireflyward.standins import EngineCosts, EngineModel, EngineServer
from fireflyward.upstreams import EngineCall, Finished, HttpEngine

COSTS = EngineCosts(prefill_ms_per_token=0.0, decode_ms_per_token=0.5)


class ConnectionReuseTests(unittest.IsolatedAsyncioTestCase):
    async def test_consecutive_runs_reuse_a_connection(self):
        """Guards against a new connection for each run and reset errors in engine logs.

        The end marker arrives before the last chunk of the body. The reader must read
        to the end of the body, because the connection of an incompletely read response
        cannot be reused.
        """
        opened = []

        async def count(session, context, params):
            opened.append(params)

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(count)
        server = EngineServer(EngineModel({"m": "v1"}, COSTS))
        await server.start()
        self.addAsyncCleanup(server.stop)
        async with aiohttp.ClientSession(trace_configs=[trace]) as session:
            engine = HttpEngine(session, server.url)
            for number in range(5):
                call = EngineCall(f"run-{number}", "m", "v1", "prompt", 4)
                async for event in engine.generate(call):
                    if isinstance(event, Finished):
                        break
        self.assertEqual(len(opened), 1)
