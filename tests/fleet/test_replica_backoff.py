"""Replicas that reject requests and request a backoff; over sockets."""

import asyncio
import contextlib

import aiohttp

from tests.platform_standins import ReplicaBehavior

from .node_fixtures import STREAM, NodeTestCase


class BackoffTests(NodeTestCase):
    """One node and two plain replicas."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_timeouts_ms(60_000)
        await self.start_ready()
        self.backing_off, self.other = self.plain

    async def fetch_until_rejected(self, replica):
        replica.behaviors = [ReplicaBehavior.REQUESTS_BACKOFF]
        await self.fetch_until(lambda: not replica.behaviors)

    async def test_a_replica_gets_no_requests_during_its_backoff(self):
        """Guards against a pause other than the one that the replica requested."""
        self.backing_off.retry_after = "30"
        await self.fetch_until_rejected(self.backing_off)
        before = self.run_count([self.backing_off])
        await asyncio.sleep(0.2)
        requests = [self.fetch("GET", "/r/x") for _ in range(20)]
        statuses = {status for status, _, _ in await asyncio.gather(*requests)}
        self.assertEqual(statuses, {200})
        self.assertEqual(self.run_count([self.backing_off]), before)

    async def test_a_replica_is_used_again_after_its_backoff(self):
        """Guards against a replica that is never used again."""
        self.backing_off.retry_after = "0.4"
        await self.fetch_until_rejected(self.backing_off)
        await self.fetch_until(lambda: self.backing_off.executed_requests)
        rejected, first = self.backing_off.requests[-2:]
        self.assertGreaterEqual(first.arrived_s - rejected.arrived_s, 0.39)

    async def test_retries_are_not_sent_there_during_the_backoff(self):
        """Guards against retries at the only replica that has not been tried."""
        self.backing_off.retry_after = "30"
        await self.fetch_until_rejected(self.backing_off)
        before = len(self.backing_off.requests)
        self.other.behaviors = [ReplicaBehavior.FAILS] * 20
        for _ in range(10):
            await self.fetch("GET", "/r/x")
        self.assertEqual(len(self.backing_off.requests), before)

    async def test_a_broken_stream_does_not_resume_there(self):
        await self.fetch("POST", "/s/x", headers=STREAM)
        backing_off, other = sorted(
            self.engines, key=lambda engine: not engine.executed_requests
        )
        backing_off.retry_after, backing_off.behaviors = (
            "30",
            [ReplicaBehavior.REQUESTS_BACKOFF],
        )
        await self.fetch("POST", "/s/x", headers=STREAM)
        self.assertEqual(backing_off.behaviors, [])
        before = self.run_count([backing_off])
        other.behaviors = [ReplicaBehavior.TRUNCATES_STREAM] * 10
        with contextlib.suppress(aiohttp.ClientPayloadError):
            await self.fetch("POST", "/s/x", headers=STREAM)
        self.assertEqual(self.run_count([backing_off]), before)

    async def test_with_all_replicas_in_backoff_requests_are_rejected_at_once(self):
        """Guards against callers that wait, or retry before the backoff expires."""
        for replica in self.plain:
            replica.retry_after = "60"
            replica.behaviors = [ReplicaBehavior.REQUESTS_BACKOFF]
        await self.fetch_until(lambda: not any(item.behaviors for item in self.plain))
        sent = [len(replica.requests) for replica in self.plain]
        for method, path in (("GET", "/r/x"), ("POST", "/w/x")):
            async with asyncio.timeout(10):
                status, headers, _ = await self.fetch(method, path)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 30)
        self.assertEqual([len(item.requests) for item in self.plain], sent)

    async def test_a_restarted_replica_has_no_backoff(self):
        self.backing_off.retry_after = "30"
        await self.fetch_until_rejected(self.backing_off)
        self.backing_off.restart()
        self.store.put("servers", "p-1", self.backing_off.entry("plain"))
        await self.fetch_until(lambda: self.backing_off.executed_requests)

    async def test_a_malformed_backoff_is_logged_and_ignored(self):
        """Guards against malformed headers that crash a node or exclude a replica."""
        self.backing_off.retry_after = "Wed, 21 Oct 2026 07:28:00 GMT"
        with self.assertLogs("fireflyward.notices", "WARNING"):
            await self.fetch_until_rejected(self.backing_off)
        await self.fetch_until(lambda: self.backing_off.executed_requests)
