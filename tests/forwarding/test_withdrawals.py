"""Requests at replicas whose weights may no longer serve."""

import asyncio
import unittest
from dataclasses import replace

from fireflyward.deployment import (
    ModelWeights,
    Route,
    RouteKind,
    ServiceShare,
    WeightTarget,
)
from fireflyward.forwarding import WithdrawalTask
from fireflyward.outcomes import Answered, NotRun, Unknown
from fireflyward.platform import CallerRequest
from fireflyward.routes import Allowed
from tests.replicas.makers import entry

from .send_case import Case, finish, stream

CALLER = CallerRequest(
    "q1", "POST", "h", "/x", (), 40_000.0, model="m", prompt_tokens=10
)
NEVER = [(10**8, None)]


class _Case(Case):
    """Replicas with version 1 of a model, of which version 2 was named at 0 ms."""

    def __init__(self, scripts, *, replicas=1, gate=None):
        super().__init__(scripts, replicas=0, gate=gate)
        self.list_weights([1] * replicas)
        self.weights = self.forwarder._deps.weights
        self.withdrawals = WithdrawalTask(
            clock=self.clock, weights=self.weights, sends=self.forwarder._deps.waiting
        )

    def list_weights(self, versions):
        entries = [
            replace(entry(f"r{number}"), weights=(ModelWeights("m", version),))
            for number, version in enumerate(versions)
        ]
        self.directory.on_full_read(self.clock.now_ms(), entries)

    def name_version(self, *, confirmed_ms=0):
        self.weights.confirm(confirmed_ms)
        self.weights.set_target(self.clock.now_ms(), WeightTarget("m", 2))

    def start(self, kind=RouteKind.STREAM, *, is_resumable=True):
        shares = (ServiceShare("s", 1),)
        route = Route(
            "r", "h", "/", kind, 40_000, 200, 0, 2, shares, is_resumable=is_resumable
        )
        serving = self.forwarder.serve(
            CALLER,
            b"",
            Allowed(route, "s", None, 1),
            arrived_ms=self.clock.now_ms(),
            reply=self.reply,
            trace=self.trace,
        )
        return asyncio.create_task(serving)

    async def check(self):
        self.withdrawals.check()
        await self.clock.advance_ms(0)

    @property
    def closed(self):
        return [connection.is_closed for connection in self.pool.opened]


class WithdrawalTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_waits_on_replaced_weights_runs_on_newer_ones(self):
        """Guards against a request that waits in a queue until the bound is over."""
        case = _Case([NEVER, stream(b"new", 10)])
        serving = case.start()
        await case.clock.advance_ms(1_000)
        case.name_version(confirmed_ms=0)
        case.list_weights([1, 2])
        await case.clock.advance_ms(10_400)
        await case.check()
        self.assertEqual(case.closed, [False])
        await case.clock.advance_ms(100)
        await case.check()
        await case.clock.advance_ms(50)
        self.assertEqual(await finish(serving), [Answered()])
        self.assertEqual(case.closed[0], True)
        self.assertIn(b"new", case.reply.stream)
        self.assertEqual(case.counters, {(0, 0, 0)})

    async def test_a_withdrawn_request_may_have_run(self):
        """Guards against a caller that repeats a request that a replica began."""
        case = _Case([NEVER])
        serving = case.start(is_resumable=False)
        await case.clock.advance_ms(1_000)
        case.name_version()
        await case.clock.advance_ms(10_500)
        await case.check()
        (outcome,) = await finish(serving)
        self.assertIsInstance(outcome, Unknown)

    async def test_a_withdrawn_request_does_not_count_against_its_replica(self):
        case = _Case([NEVER])
        serving = case.start()
        await case.clock.advance_ms(1_000)
        case.name_version()
        await case.clock.advance_ms(10_500)
        await case.check()
        await finish(serving)
        (state,) = case.directory.all()
        self.assertFalse(state.is_suspect(case.clock.now_ms()))
        self.assertEqual(case.withdrawals.withdrawn, 1)

    async def test_a_stream_that_has_begun_is_not_withdrawn(self):
        case = _Case([stream(b"old", 10, 14_000)])
        serving = case.start()
        await case.clock.advance_ms(1_000)
        case.name_version()
        await case.clock.advance_ms(11_000)
        await case.check()
        await case.clock.advance_ms(3_000)
        self.assertEqual(await finish(serving), [Answered()])

    async def test_a_caller_that_leaves_while_its_request_is_withdrawn(self):
        """Guards against a request that goes on without its caller."""
        case = _Case([NEVER])
        serving = case.start()
        await case.clock.advance_ms(1_000)
        case.name_version()
        await case.clock.advance_ms(10_500)
        case.withdrawals.check()
        serving.cancel()
        (error,) = await finish(serving)
        self.assertIsInstance(error, asyncio.CancelledError)
        self.assertEqual(len(case.pool.opened), 1)
        self.assertEqual(case.counters, {(0, 0, 0)})

    async def test_weights_that_were_replaced_while_a_connection_was_opened(self):
        """Guards against a send by a choice from before a standstill."""
        case = _Case([stream(b"old", 10)])
        acquire = case.pool.acquire

        async def acquire_late(address, **options):
            connection = await acquire(address, **options)
            case.name_version(confirmed_ms=-20_000)
            return connection

        case.pool.acquire = acquire_late
        (outcome,) = await finish(case.start())
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual([each.was_sent for each in case.pool.opened], [False])
        self.assertEqual(len(case.pool.released), 1)

    async def test_a_second_send_is_not_made_on_weights_replaced_meanwhile(self):
        """Guards against a second send by a choice from before a standstill."""
        case = _Case([NEVER], replicas=2)
        acquire = case.pool.acquire

        async def acquire_late(address, **options):
            connection = await acquire(address, **options)
            if len(case.pool.opened) == 2:
                case.name_version(confirmed_ms=-20_000)
            return connection

        case.pool.acquire = acquire_late
        serving = case.start()
        await case.clock.advance_ms(2_000)
        sent = [connection.was_sent for connection in case.pool.opened]
        self.assertEqual(sent, [True, False])
        serving.cancel()
        await finish(serving)

    async def test_weights_that_evidence_of_another_node_allows_are_watched_too(self):
        """Guards against a node that starts and never withdraws what it sends."""
        case = _Case([NEVER])
        running = asyncio.create_task(case.withdrawals.run())
        case.weights.set_target(0, WeightTarget("m", 2))
        await case.clock.advance_ms(500)
        case.weights.history.on_evidence("m", 1, 0)
        serving = case.start()
        await case.clock.advance_ms(11_100)
        (outcome,) = await finish(serving)
        running.cancel()
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(case.withdrawals.withdrawn, 1)

    async def test_a_request_on_weights_that_were_replaced_at_an_unknown_time(self):
        """Guards against requests that wait without a bound if no age is known."""
        case = _Case([NEVER])
        serving = case.start()
        await case.clock.advance_ms(1_000)
        case.weights.set_target(1_000, WeightTarget("m", 2))
        await case.check()
        (outcome,) = await finish(serving)
        self.assertIsInstance(outcome, Unknown)

    async def test_sends_on_replaced_weights_are_logged_with_their_age(self):
        """Guards against a log that cannot tell how old replaced weights were."""
        case = _Case([stream(b"old", 10)])
        case.name_version()
        await case.clock.advance_ms(2_000)
        serving = case.start()
        await case.clock.advance_ms(100)
        self.assertEqual(await finish(serving), [Answered()])
        with self.assertLogs("fireflyward.forwarding", "INFO") as logs:
            case.withdrawals.check()
        self.assertIn("1 requests sent on weights of m", logs.output[0])
        self.assertIn("replaced 2000 ms before", logs.output[0])
        self.assertEqual(case.trace.replaced_ms, 2_000)
