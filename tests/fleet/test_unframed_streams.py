"""Streams with neither a length nor chunks, which end with their connection."""

import aiohttp

from tests.platform_standins import ReplicaBehavior

from .node_fixtures import STREAM, NodeTestCase, event_numbers

_ALL_EVENTS = [1, 2, 3, 4]


class UnframedStreamTests(NodeTestCase):
    async def fetch_stream(self, behavior, *, is_resumable=True):
        """Fetch a stream whose first replica behaves so, and all others normally."""
        self.operator.configuration["routes"][0]["resumable"] = is_resumable
        await self.start_ready()
        behaviors = [behavior]
        for engine in self.engines:
            engine.behaviors = behaviors
        return await self.fetch("POST", "/s/x", headers=STREAM)

    async def test_a_stream_that_ends_with_its_connection_is_complete(self):
        status, headers, body = await self.fetch_stream(ReplicaBehavior.UNFRAMED)
        self.assertEqual(status, 200)
        self.assertIn("X-Server-Seal", headers)
        self.assertEqual(event_numbers(body), _ALL_EVENTS)
        self.assertEqual(self.run_count(self.engines), 1)

    async def test_a_stream_that_ends_inside_an_event_is_resumed(self):
        """Guards against a stream that is taken for complete after half an event."""
        status, _, body = await self.fetch_stream(ReplicaBehavior.UNFRAMED_TRUNCATED)
        self.assertEqual((status, event_numbers(body)), (200, _ALL_EVENTS))
        self.assertEqual(self.run_count(self.engines), 2)

    async def test_a_stream_that_is_reset_is_resumed(self):
        status, _, body = await self.fetch_stream(ReplicaBehavior.UNFRAMED_RESET)
        self.assertEqual((status, event_numbers(body)), (200, _ALL_EVENTS))

    async def test_a_broken_stream_that_is_not_resumable_does_not_look_complete(self):
        for behavior in (
            ReplicaBehavior.UNFRAMED_TRUNCATED,
            ReplicaBehavior.UNFRAMED_RESET,
        ):
            with self.subTest(behavior), self.assertRaises(aiohttp.ClientError):
                await self.fetch_stream(behavior, is_resumable=False)

    async def test_a_stream_that_breaks_twice_does_not_look_complete(self):
        """Guards against an end mark after the last replica broke off too."""
        await self.start_ready()
        for engine in self.engines:
            engine.behaviors = [ReplicaBehavior.UNFRAMED_TRUNCATED] * 3
        with self.assertRaises(aiohttp.ClientError):
            await self.fetch("POST", "/s/x", headers=STREAM)
