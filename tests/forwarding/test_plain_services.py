"""Requests without a prompt at replicas that have more requests than slots."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import MagicMock

from fireflyward.clock import ManualClock
from fireflyward.deployment import Route, RouteKind, ServiceShare
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.limits import FairAdmission, LocalSums, PeerSums
from fireflyward.outcomes import NotRun, Reason
from fireflyward.platform import CallerRequest
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser, ReplicaDirectory
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed
from tests.replicas.makers import entry

from .fakes import SilentConnection
from .open_gate import OpenGate

CALLER = CallerRequest("q1", "POST", "h", "/x", (), 3_000.0)
ROUTE = Route(
    "r", "h", "/", RouteKind.NON_IDEMPOTENT, 3_000, 358, 0, 2, (ServiceShare("s", 1),)
)


class _Pool:
    def __init__(self):
        self.connections = []

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
        self.connections.append(SilentConnection(address))
        return self.connections[-1]


class PlainServiceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(0)
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}", slots=6) for i in range(3)]
        self.directory.on_full_read(0, entries)
        self.pool, self.trace = _Pool(), Trace()
        peers = PeerSums()
        peers.set_alone(True)
        self.sums = LocalSums()
        self.forwarder = Forwarder(
            clock=self.clock,
            pool=self.pool,
            chooser=Chooser(self.directory, failure_domain="a", seed=1),
            budget=RetryBudget(ratio=0.2, extra=10, window_ms=10_000),
            weights=WeightVersions(version_ms=12_000),
            planner=PartPlanner(),
            gate=OpenGate(),
            reach=MagicMock(),
            notices=MagicMock(),
            fairness=FairAdmission(self.sums, peers),
        )

    def load(self, requests, run_ms=72.0):
        for state in self.directory.all():
            state.in_flight, state.mean_run_ms = requests, run_ms

    async def serve(self, caller=CALLER):
        """Return the outcome, or None if the request was sent."""
        serving = asyncio.create_task(
            self.forwarder.serve(
                caller,
                b"",
                Allowed(ROUTE, "s", None, 1),
                arrived_ms=0,
                reply=None,
                trace=self.trace,
            )
        )
        while not serving.done() and not self.has_sent():
            await asyncio.sleep(0)
        if serving.done():
            return serving.result()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return None

    def has_sent(self):
        return any(item.sent.is_set() for item in self.pool.connections)

    async def test_request_that_would_be_late_is_rejected_at_once(self):
        """Guards against offering a request to one full replica after the other."""
        self.load(requests=30)
        outcome = await self.serve()
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.reason, Reason.OVERLOADED)
        self.assertRegex(outcome.detail, r"^answer in \d+ ms$")
        self.assertTrue(200 <= outcome.retry_after_ms <= 1_000)
        self.assertEqual(self.pool.connections, [])

    async def test_request_that_waits_but_is_in_time_is_sent(self):
        self.load(requests=20)
        self.assertIsNone(await self.serve())
        self.assertEqual(len(self.pool.connections), 1)

    async def test_free_slot_is_used_however_long_requests_run(self):
        """Guards against rejecting by a mean run time where nothing waits."""
        self.load(requests=5, run_ms=9_000.0)
        self.assertIsNone(await self.serve())

    async def test_expired_deadlines_show_no_shortage(self):
        """Guards against a caller that switches the fairness rules on by itself."""
        for _ in range(30):
            outcome = await self.serve(replace(CALLER, deadline_ms=0.0))
            self.assertIsInstance(outcome, NotRun)
        self.assertEqual(self.sums.services(), [])

    async def test_trace_has_the_inputs_in_a_shortage(self):
        self.load(requests=30)
        for _ in range(30):
            await self.serve()
        await self.clock.advance_ms(200)
        await self.serve()
        fields = self.trace.fields()
        self.assertEqual(fields["fair_reason"], "none")
        self.assertEqual(fields["fair_percent"], 100)
        self.assertEqual(fields["pressure_percent"], 100)
