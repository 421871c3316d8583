"""Headers with unusual texts and numbers, of callers and of replicas."""

import asyncio

from .node_fixtures import KEY, STREAM, FleetTestCase, event_numbers

_PARALLEL = 6


class OddHeaderTests(FleetTestCase):
    async def test_headers_beyond_latin_1_are_forwarded_unchanged(self):
        """Guards against a request that never succeeds because of one header."""
        await self.start_ready()
        texts = {"X-Note": "caf\u00e9 \u20ac", "X-Request-Id": "\u00e9-\u20ac"}
        status, headers, _ = await self.fetch("GET", "/r/x", headers={**KEY, **texts})
        self.assertEqual(status, 200)
        self.assertEqual(headers["X-Request-Id"], texts["X-Request-Id"])

    async def test_large_prompts_fail_no_task(self):
        """Guards against requests whose tokens keep a node from telling its load."""
        for engine in self.engines:
            engine.pause_s = 0.05
        await self.start_nodes()
        headers = {**STREAM, "X-Token-Usage": "900,999999999"}
        with self.assertNoLogs("fireflyward", "ERROR"):
            answers = [
                self.fetch("POST", "/s/x", headers=headers) for _ in range(_PARALLEL)
            ]
            for status, _, body in await asyncio.gather(*answers):
                self.assertEqual(status, 200)
                self.assertEqual(event_numbers(body), [1, 2, 3, 4])

    async def test_odd_headers_of_a_replica_lose_no_response(self):
        """Guards against a response that is lost because of one of its headers."""
        await self.start_ready()
        odd = [
            ("X-Weight-Versions", "\u00b2"),
            ("X-Weight-Versions", "9" * 5_000),
            ("X-Server-Load", "9" * 5_000),
            ("X-Note", "\u20ac"),
            ("Keep-Alive", "timeout=\u00b2"),
            ("Keep-Alive", "timeout=" + "9" * 5_000),
        ]
        for header in odd:
            for replica in self.plain:
                replica.notices = [header]
            for _ in range(4):
                status, _, _ = await self.fetch("GET", "/r/x")
                self.assertEqual(status, 200, header[0])
