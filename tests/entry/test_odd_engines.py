"""Engines whose answers hold numbers and texts that no engine means."""

import asyncio
import json
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from fireflyward.demo import DemoDeployment
from fireflyward.standins import EngineServer

_LIMIT_S = 20
_REQUESTS = 8
_PROMPT = {"model": "clauses", "prompt": "beam 7?", "max_tokens": 4}
_REPORT = {
    "queued": 0,
    "running": 0,
    "queued_prefill_tokens": 0,
    "free_blocks": 9,
    "version_by_model": {"clauses": "v1"},
    "leaving": False,
    "epoch": "e",
    "age_ms": 0,
}
_NESTED = json.dumps(_REPORT)[:-1] + ', "x": ' + "[" * 20_000 + "]" * 20_000 + "}"
ODD_REPORTS = {
    "nested": _NESTED,
    "tokens beyond a float": json.dumps({**_REPORT, "queued_prefill_tokens": 10**400}),
    "negative tokens": json.dumps({**_REPORT, "queued_prefill_tokens": -(10**9)}),
    "blocks beyond 64 bits": json.dumps({**_REPORT, "free_blocks": 10**30}),
    "report of the future": json.dumps({**_REPORT, "age_ms": -(10**9)}),
    "age beyond a float": json.dumps({**_REPORT, "age_ms": 10**400}),
    "epoch of another form": json.dumps({**_REPORT, "epoch": "~x"}),
    "epoch beyond its byte": json.dumps({**_REPORT, "epoch": "~999"}),
    "version with line breaks": json.dumps(
        {**_REPORT, "version_by_model": {"clauses": "v1\n\t\n"}}
    ),
    "version of 60,000 characters": json.dumps(
        {**_REPORT, "version_by_model": {"clauses": "v" * 60_000}}
    ),
}


class OddEngineTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.odd_report = None
        self.odd_engine = None
        load = EngineServer._load

        async def load_oddly(server, request):
            if server is self.odd_engine and self.odd_report is not None:
                self.odd_reports_sent += 1
                return web.Response(text=self.odd_report)
            return await load(server, request)

        self.enterContext(mock.patch.object(EngineServer, "_load", load_oddly))
        self.odd_reports_sent = 0
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=2, engines_per_domain=2)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.nodes = list(self.deployment.node_by_name.values())
        self.odd_engine = next(iter(self.deployment.engine_by_name.values()))

    async def send_some(self):
        for number in range(_REQUESTS):
            node = self.nodes[number % len(self.nodes)]
            async with self.session.post(
                f"http://127.0.0.1:{node.port}/v1/completions",
                json={**_PROMPT, "prompt": f"beam {self.odd_reports_sent} {number}?"},
                headers={"Authorization": "Bearer key-bridge"},
            ) as response:
                self.assertEqual(response.status, 200, await response.text())

    async def until_sent(self, count):
        async with asyncio.timeout(_LIMIT_S):
            while self.odd_reports_sent < count:
                await asyncio.sleep(0.01)

    async def test_odd_load_reports_fail_no_task_and_no_request(self):
        """Guards against 500 for all callers, and loads that are no longer heard."""
        for name, report in ODD_REPORTS.items():
            with self.subTest(name):
                with self.assertNoLogs("fireflyward", "ERROR"):
                    with self.assertNoLogs("asyncio", "ERROR"):
                        self.odd_report = report
                        await self.until_sent(self.odd_reports_sent + 3)
                        await self.send_some()

    async def test_a_sound_report_after_odd_ones_is_believed(self):
        """Guards against an engine that leaves and still gets runs."""
        (name,) = (
            name
            for name, engine in self.deployment.engine_by_name.items()
            if engine is self.odd_engine
        )
        for odd in ODD_REPORTS.values():
            self.odd_report = odd
            await self.until_sent(self.odd_reports_sent + 2)
        self.odd_report = json.dumps({**_REPORT, "leaving": True})
        candidates = [node.router.candidate(name) for node in self.nodes]
        async with asyncio.timeout(_LIMIT_S):
            while not all(candidate.leaving for candidate in candidates):
                await asyncio.sleep(0.01)
