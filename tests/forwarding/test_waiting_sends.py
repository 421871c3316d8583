"""State changes of a replica while a request waits for its connection."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import MagicMock

from fireflyward.clock import ManualClock
from fireflyward.deployment import Route, RouteKind, ServiceShare
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.outcomes import NotRun
from fireflyward.platform import CallerRequest
from fireflyward.prefixes import PartPlanner
from fireflyward.quarantine import Trial
from fireflyward.replicas import (
    Chooser,
    ListConfirmation,
    RateLimits,
    ReplicaDirectory,
)
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed
from tests.replicas.makers import entry

from .fakes import SilentConnection
from .open_gate import OpenGate

CALLER = CallerRequest("q1", "POST", "h", "/x", (), 3_000.0)
ROUTE = Route(
    "r",
    "h",
    "/",
    RouteKind.NON_IDEMPOTENT,
    3_000,
    200,
    0,
    2,
    (ServiceShare("s", 1),),
)


class _Pool:
    """Opens connections once ``may_open`` is set; records released ones."""

    def __init__(self):
        self.may_open = asyncio.Event()
        self.taken = []
        self.given_back = []

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
        self.taken.append(SilentConnection(address))
        await self.may_open.wait()
        return self.taken[-1]

    def release(self, connection):
        self.given_back.append(connection)


class WaitingSendTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(0)
        self.directory = ReplicaDirectory()
        entries = [entry("r1"), entry("r2")]
        self.directory.on_full_read(0, entries)
        self.pool, self.trace = _Pool(), Trace()
        limits = RateLimits("n1", seed=1)
        limits.set_nodes(["n1"])
        self.forwarder = Forwarder(
            clock=self.clock,
            pool=self.pool,
            chooser=Chooser(
                self.directory, failure_domain="a", rate_limits=limits, seed=1
            ),
            budget=RetryBudget(ratio=0.2, extra=10, window_ms=10_000),
            weights=WeightVersions(version_ms=12_000),
            planner=PartPlanner(),
            gate=OpenGate(),
            reach=MagicMock(),
            notices=MagicMock(),
        )

    def serve(self):
        return self.forwarder.serve(
            CALLER,
            b"",
            Allowed(ROUTE, "s", None, 1),
            arrived_ms=0,
            reply=None,
            trace=self.trace,
        )

    async def begin(self):
        """Let a request wait for a connection; return the replica it waits for."""
        self.serving = asyncio.create_task(self.serve())
        await asyncio.sleep(0)
        name = self.pool.taken[0].address.partition(":")[0]
        return self.directory.find(name)

    async def assert_sent_elsewhere(self, replica):
        self.pool.may_open.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        first, second = self.pool.taken
        self.assertFalse(first.sent.is_set())
        self.assertEqual(self.pool.given_back, [first])
        self.assertNotEqual(second.address, replica.entry.address)
        self.assertTrue(second.sent.is_set())
        self.assertEqual(replica.in_flight, 0)
        self.serving.cancel()
        await asyncio.gather(self.serving, return_exceptions=True)

    async def test_the_trace_tells_a_late_choice_from_a_late_write(self):
        """Guards against a late request whose cause no log line shows."""
        self.directory.confirmation = ListConfirmation(-70, "store")
        self.clock._now_ms = 5
        await self.begin()
        self.clock._now_ms = 45
        self.pool.may_open.set()
        await self.pool.taken[0].sent.wait()
        fields = self.trace.fields()
        self.assertEqual((fields["chosen_after_ms"], fields["sent_after_ms"]), (5, 45))
        self.assertEqual((fields["list_age_ms"], fields["list_source"]), (75, "store"))
        self.serving.cancel()
        await asyncio.gather(self.serving, return_exceptions=True)

    async def test_a_limit_set_meanwhile_applies(self):
        """Guards against sending all requests that waited when the limit was set."""
        replica = await self.begin()
        replica.backpressure.limit.on_limit_named(0, 0.5)
        replica.backpressure.changes += 1
        await self.assert_sent_elsewhere(replica)

    async def test_a_replica_whose_entry_changes_meanwhile_gets_no_request(self):
        """Guards against sending by an older list than the node has."""
        changes = {
            "reported": lambda name: self.directory.on_changes(
                0, [entry(name, leaving=True)], []
            ),
            "removed": lambda name: self.directory.on_changes(0, [], [name]),
            "expired": self.expire,
            "evacuated": lambda name: self.directory.set_evacuated(
                0, frozenset({self.directory.find(name).entry.failure_domain})
            ),
        }
        for kind, change in changes.items():
            with self.subTest(kind):
                self.setUp()
                self.directory.on_changes(0, [entry("r2", zone="b")], [])
                replica = await self.begin()
                change(replica.entry.incarnation)
                await self.assert_sent_elsewhere(replica)

    def expire(self, name):
        self.directory.on_changes(0, [], [name], keep_until_ms=10)
        self.directory.expire(10)

    async def test_a_replica_that_starts_leaving_meanwhile_gets_no_request(self):
        """Guards against sending requests that waited as the replica began to leave."""
        replica = await self.begin()
        self.directory.on_leaving(replica)
        replica.backpressure.changes += 1
        await self.assert_sent_elsewhere(replica)

    async def test_a_replica_that_asks_for_backoff_meanwhile_gets_no_request(self):
        """Guards against sending requests that waited when backoff was requested."""
        replica = await self.begin()
        replica.backpressure.on_backoff(0, 3_000)
        replica.backpressure.changes += 1
        await self.assert_sent_elsewhere(replica)


class _TrialGate(OpenGate):
    """Admits a request as a trial, and records how the trial ends."""

    def __init__(self):
        self.ended = []

    async def admit(self, fingerprint):
        return Trial(fingerprint, 1)

    def end_trial(self, trial, *, was_sent, begun_at):
        self.ended.append(was_sent)


class TrialTests(WaitingSendTests):
    """The same changes for a request on trial that has not used its one send yet."""

    def setUp(self):
        super().setUp()
        self.gate = _TrialGate()
        self.forwarder._deps = replace(self.forwarder._deps, gate=self.gate)

    async def test_with_all_replicas_in_backoff_it_is_rejected_unsent(self):
        for state in self.directory.all():
            state.backpressure.on_backoff(0, 3_000)
        outcome = await self.serve()
        self.assertIsInstance(outcome, NotRun)
        self.assertGreaterEqual(outcome.retry_after_ms, 3_000)
        self.assertEqual(self.pool.taken, [])
        self.assertEqual(self.gate.ended, [False])
