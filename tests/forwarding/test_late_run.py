"""A late request on its way: counted once, wherever it ends."""

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
from fireflyward.forwarding import Forwarder, Trace, WeightBook
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
    """Gives what it is told to; with ``None`` connecting takes for ever."""

    def __init__(self, connection):
        self.connection = connection
        self.asked = asyncio.Event()

    async def take(self, address, *, connect_ms, fresh=False):
        self.asked.set()
        if self.connection is None:
            await asyncio.Event().wait()
        return self.connection


class LateRunTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        entry = ReplicaEntry(
            "r1", "s", "r1:80", "a", SLOTS, False, weights=(ModelWeights("m", 1),)
        )
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry], after_outage=False)
        self.state = self.directory.find("r1")
        # The next one waits 400 ms for a slot, and has 200 ms.
        self.state.in_flight = SLOTS + 15

    def serve(self, connection):
        self.pool = _Pool(connection)
        forwarder = Forwarder(
            clock=ManualClock(0),
            pool=self.pool,
            chooser=Chooser(self.directory, failure_domain="a", seed=1),
            budget=RetryBudget(ratio=0.2, extra=10, window_ms=10_000),
            weights=WeightBook(version_ms=12_000),
            planner=PartPlanner(),
            gate=OpenGate(),
            reach=MagicMock(),
            notices=MagicMock(),
        )
        self.lane = forwarder._tools.late_lane
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

    def lane_is_free(self):
        """Tell whether all of the lane's places are free, taking them."""
        places = [self.lane.enter("s", SLOTS) for _ in range(SLOTS // 2 + 1)]
        return places == [True] * (SLOTS // 2) + [False]

    async def leave(self, serving):
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    async def test_while_it_waits_others_do_not_count_it(self):
        """Symptom: in a burst everything becomes late, and goes behind all else.

        Late requests were counted among those that wait for a slot, though whoever
        is on time goes before them.
        """
        connection = SilentConnection()
        serving = self.serve(connection)
        await connection.sent.wait()
        self.assertTrue(self.trace.waits_late)
        self.assertEqual((self.state.in_flight, self.state.waiting_late), (19, 1))
        await self.leave(serving)
        self.assertEqual((self.state.in_flight, self.state.waiting_late), (19, 0))
        self.assertTrue(connection.is_closed)
        self.assertTrue(self.lane_is_free())

    async def test_a_caller_that_leaves_while_connecting_gives_its_place_back(self):
        """Symptom: after some hours every late request is refused.

        Callers left before their requests were sent, and each kept its place.
        """
        serving = self.serve(None)
        await self.pool.asked.wait()
        await self.leave(serving)
        self.assertTrue(self.lane_is_free())

    async def test_a_replica_that_cannot_be_reached_gives_it_back_too(self):
        outcome = await self.serve(NotConnected("refused"))
        self.assertEqual(outcome.tag, "not_run")
        self.assertEqual((self.state.in_flight, self.state.waiting_late), (19, 0))
        self.assertTrue(self.lane_is_free())
