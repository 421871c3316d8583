"""Late responses to requests where the response to a replica's report is expected."""

import unittest

from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool, read_full_response
from fireflyward.platform import ReplicaApi, is_incarnation
from tests.platform_standins import ReplicaBehavior, ReplicaStandIn
from tests.replicas.makers import entry

_LIMIT_MS = 5_000
_MAX_BYTES = 1_000


class LateResponseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.replica = ReplicaStandIn("e-1", model="m")
        self.replica.repeats_rejections = True
        self.replica.behaviors = [ReplicaBehavior.FULL]
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)
        self.clock = Clock()
        self.pool = ConnectionPool(self.clock)
        self.addCleanup(self.pool.close)
        self.connection = await self.pool.acquire(
            self.replica.address, connect_ms=_LIMIT_MS
        )
        self.connection.send("POST", "/x", [("X-Request-Id", "q1")])
        rejection = await read_full_response(
            self.connection,
            clock=self.clock,
            limit_ms=_LIMIT_MS,
            memory=self.pool.memory,
            max_bytes=_MAX_BYTES,
        )
        self.assertEqual(rejection.status, 503)

    async def test_a_late_rejection_confirms_no_incarnation(self):
        """Guards against a stream that goes on at other software after a late 503."""
        started_ms = self.replica.started_ms + 1
        listed = entry("e-1", address=self.replica.address, started_ms=started_ms)
        is_same = await is_incarnation(
            self.connection,
            listed,
            clock=self.clock,
            limit_ms=_LIMIT_MS,
            memory=self.pool.memory,
        )
        self.assertFalse(is_same)
        self.assertFalse(self.connection.is_usable)

    async def test_a_late_rejection_is_no_report(self):
        """Guards against a report's answer that the next request would receive."""
        self.pool.release(self.connection)
        api = ReplicaApi(self.pool, clock=self.clock)
        report = await api.report(self.replica.address, "e-1", limit_ms=_LIMIT_MS)
        self.assertIsNone(report)
        self.assertEqual(self.replica.copies_sent, 1)
        self.assertFalse(self.connection.is_usable)
