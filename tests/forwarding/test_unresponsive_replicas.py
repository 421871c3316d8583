"""A request reports replicas that do not answer, and counts sends to cold ones."""

import asyncio
import contextlib
import unittest
from unittest.mock import MagicMock

from fireflyward.clock import ManualClock
from fireflyward.deployment import (
    ReplicaEntry,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.http1 import Broken, BrokenAt, NotConnected
from fireflyward.outcomes import NotRun
from fireflyward.platform import CallerRequest
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser, ReplicaDirectory
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed

from .fakes import SilentConnection
from .open_gate import OpenGate

CALLER = CallerRequest("q1", "GET", "h", "/x", (), 3_000.0)


class _Reach:
    """Records the reports that it receives."""

    def __init__(self):
        self.silent = []
        self.awaiting_now = 0

    def on_silent(self, replica):
        self.silent.append(replica.entry.incarnation)

    @contextlib.contextmanager
    def awaiting(self, replica, connection):
        self.awaiting_now += 1
        try:
            yield
        finally:
            self.awaiting_now -= 1


class _Pool:
    def __init__(self, connection):
        self._connection = connection

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
        return self._connection

    def release(self, connection):
        self.released = connection


class _LostConnection(SilentConnection):
    """Reports that it was lost before a request was written."""

    async def next_event_within(self, limit_ms):
        return Broken(BrokenAt.UNSENT, "lost")


class UnresponsiveReplicaTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.set_services({"s": Service("s", 0, None, None, 3_000, 11.0)})
        entry = ReplicaEntry("r1", "s", "r1:80", "a", 4, False, cold_ms=3_000)
        self.directory.on_full_read(0, [entry])
        self.state = self.directory.find("r1")
        self.reach = _Reach()

    def serve(self, connection, kind):
        self.clock = ManualClock(0)
        self.pool = _Pool(connection)
        forwarder = Forwarder(
            clock=self.clock,
            pool=self.pool,
            chooser=Chooser(self.directory, failure_domain="a", seed=1),
            budget=RetryBudget(ratio=0.2, extra=10, window_ms=10_000),
            weights=WeightVersions(version_ms=12_000),
            planner=PartPlanner(),
            gate=OpenGate(),
            reach=self.reach,
            notices=MagicMock(),
        )
        forwarder._deps.chooser._cold_shares.set_nodes([""])
        shares = (ServiceShare("s", 1),)
        route = Route("r", "h", "/", kind, 3_000, 200, 0, 2, shares)
        return asyncio.create_task(
            forwarder.serve(
                CALLER,
                b"",
                Allowed(route, "s", None, 1),
                arrived_ms=0,
                reply=None,
                trace=Trace(),
            )
        )

    async def count_awaiting(self, kind):
        """Send a request without a response; return how many ``Reach`` would abort."""
        connection = SilentConnection()
        serving = self.serve(connection, kind)
        await connection.sent.wait()
        await asyncio.sleep(0)
        awaiting = self.reach.awaiting_now
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return awaiting

    async def test_a_connection_timeout_is_reported(self):
        """Guards against a timeout for each replica of an unreachable domain.

        Without a report, requests discover each of the domain's replicas by a timeout.
        """
        await self.serve(NotConnected("no connection in 350 ms"), RouteKind.IDEMPOTENT)
        self.assertIn("r1", self.reach.silent)

    async def test_a_refused_connection_is_not_reported_as_silent(self):
        refused = NotConnected("refused", is_refused=True)
        await self.serve(refused, RouteKind.IDEMPOTENT)
        self.assertEqual(self.reach.silent, [])

    async def test_a_request_that_no_replica_received_is_reported_as_not_run(self):
        """Guards against 502 for records that were certainly not written.

        The connections were lost before the request, or could not be opened.
        """
        for connection in (_LostConnection(), NotConnected("no connection in 350 ms")):
            outcome = await self.serve(connection, RouteKind.NON_IDEMPOTENT)
            self.assertIsInstance(outcome, NotRun)
            self.assertGreater(outcome.retry_after_ms, 0)
            self.assertEqual((self.state.in_flight, self.state.resident_tokens), (0, 0))

    async def test_a_request_is_not_sent_after_its_deadline(self):
        """Guards against 504 for a request that waited for a connection only."""
        connection = SilentConnection()
        serving = self.serve(connection, RouteKind.NON_IDEMPOTENT)
        self.pool.acquire = self.acquire_late
        self.late_connection = connection
        outcome = await serving
        self.assertIsInstance(outcome, NotRun)
        self.assertFalse(connection.sent.is_set())
        self.assertIs(self.pool.released, connection)

    async def acquire_late(self, address, *, connect_ms, fresh=False, without=()):
        await self.clock.advance_ms(3_000)
        return self.late_connection

    async def test_only_idempotent_requests_are_aborted_in_an_unreachable_domain(self):
        """Guards against a network cut failing records that replicas still write.

        A non-idempotent request fails if its connection is closed, although its
        response may still arrive.
        """
        self.assertEqual(await self.count_awaiting(RouteKind.IDEMPOTENT), 1)
        self.assertEqual(await self.count_awaiting(RouteKind.NON_IDEMPOTENT), 0)
        self.assertEqual(self.reach.awaiting_now, 0)

    async def test_a_send_to_a_cold_replica_counts_from_the_moment_it_is_sent(self):
        """Guards against a cold replica that gets half of the requests it can handle.

        Each request was counted for as long as its connection could have taken to open.
        """
        await self.count_awaiting(RouteKind.IDEMPOTENT)
        self.assertEqual(self.state.cold_sends_since(-1), 1)
        self.assertEqual(self.state.cold_sends_since(0), 0)
