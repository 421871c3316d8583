"""A late request that waits for a slot is counted once, however it ends."""

import asyncio
import unittest
from unittest.mock import MagicMock

from fireflyward.clock import ManualClock
from fireflyward.deployment import (
    ModelWeights,
    ReplicaEntry,
    Route,
    RouteKind,
    ServiceShare,
)
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.http1 import NotConnected
from fireflyward.platform import CallerRequest
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser, ReplicaDirectory
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed

from .fakes import SilentConnection
from .open_gate import OpenGate

SLOTS = 4
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, 3_000, 200, 0, 1, (ServiceShare("s", 1),)
)
CALLER = CallerRequest("q1", "POST", "h", "/x", (), 3_000.0, model="m")


class _Pool:
    """Returns a fixed connection; with ``None`` opening one never finishes."""

    def __init__(self, connection):
        self.connection = connection
        self.was_asked = asyncio.Event()

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
        self.was_asked.set()
        if self.connection is None:
            await asyncio.Event().wait()
        return self.connection


class LateRequestTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        entry = ReplicaEntry(
            "r1", "s", "r1:80", "a", SLOTS, False, weights=(ModelWeights("m", 1),)
        )
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry])
        self.state = self.directory.find("r1")
        # The next request has to wait 400 ms for a slot; its objective is 200 ms.
        self.state.in_flight = SLOTS + 15

    def serve(self, connection):
        self.pool = _Pool(connection)
        forwarder = Forwarder(
            clock=ManualClock(0),
            pool=self.pool,
            chooser=Chooser(self.directory, failure_domain="a", seed=1),
            budget=RetryBudget(ratio=0.2, extra=10, window_ms=10_000),
            weights=WeightVersions(version_ms=12_000),
            planner=PartPlanner(),
            gate=OpenGate(),
            reach=MagicMock(),
            notices=MagicMock(),
        )
        self.limit = forwarder._deps.late_limit
        self.trace = Trace()
        return asyncio.create_task(
            forwarder.serve(
                CALLER,
                b"",
                Allowed(ROUTE, "s", None, 1),
                arrived_ms=0,
                reply=None,
                trace=self.trace,
            )
        )

    def is_limit_free(self):
        """Return whether no request waits, and use up the limit for that."""
        acquired = [self.limit.try_acquire("s", SLOTS) for _ in range(SLOTS // 2 + 1)]
        return acquired == [True] * (SLOTS // 2) + [False]

    async def disconnect(self, serving):
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    async def test_a_waiting_late_request_does_not_count_as_in_flight(self):
        """Guards against a burst in which all requests become late.

        Late requests were counted among the requests that wait for a slot, although
        requests that are on time get a slot before them. So all requests became late
        and got the lowest priority.
        """
        connection = SilentConnection()
        serving = self.serve(connection)
        await connection.sent.wait()
        self.assertTrue(self.trace.waits_late)
        self.assertEqual((self.state.in_flight, self.state.waiting_late), (19, 1))
        await self.disconnect(serving)
        self.assertEqual((self.state.in_flight, self.state.waiting_late), (19, 0))
        self.assertTrue(connection.is_closed)
        self.assertTrue(self.is_limit_free())

    async def test_a_caller_that_disconnects_while_connecting_frees_its_place(self):
        """Guards against rejecting every late request after some hours.

        Callers disconnected before their requests were sent, and their requests stayed
        counted as waiting.
        """
        serving = self.serve(None)
        await self.pool.was_asked.wait()
        await self.disconnect(serving)
        self.assertTrue(self.is_limit_free())

    async def test_a_failed_connection_frees_the_place(self):
        outcome = await self.serve(NotConnected("refused"))
        self.assertEqual(outcome.tag, "not_run")
        self.assertEqual((self.state.in_flight, self.state.waiting_late), (19, 0))
        self.assertTrue(self.is_limit_free())
