"""Two sends of one request: one answer, and counters that return to zero."""

import asyncio
import random
import unittest
from unittest.mock import MagicMock

from hypothesis import given, settings, strategies as st

from fireflyward.clock import ManualClock
from fireflyward.deployment import Route, RouteKind, ServiceShare
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.hedging import Hedging, SilentReplicaCost
from fireflyward.http1 import BodyPart, Broken, BrokenAt, End, Head, NotConnected
from fireflyward.outcomes import Answered, NotRun, Unknown
from fireflyward.platform import CallerRequest
from fireflyward.platform._requests import _SIGNATURE
from fireflyward.prefixes import PartPlanner
from fireflyward.quarantine import Free, Trial
from fireflyward.replicas import Chooser, ReplicaDirectory
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed
from tests.replicas.makers import entry

from .open_gate import OpenGate

ROUTE = Route(
    "r", "h", "/", RouteKind.IDEMPOTENT, 3_000, 200, 0, 2, (ServiceShare("s", 1),)
)
CALLER = CallerRequest("q1", "GET", "h", "/x", (), 3_000.0)
OK_HEAD = Head(200, "", (("x-request-id", "q1"), (_SIGNATURE, "s")))
ERROR_HEAD = Head(500, "", (("x-request-id", "q1"),))
_TEST_TIMEOUT_S = 10
BROKEN = Broken(BrokenAt.SENT, "reset")


class _Connection:
    """Returns events at given times after the request; then it stays silent."""

    def __init__(self, clock, script):
        self.clock = clock
        self.script = list(script)
        self.is_closed = False
        self.was_sent = False
        self.must_close = False

    def send(self, method, target, headers, body):
        self.was_sent = True
        self.sent_ms = self.clock.now_ms()

    async def next_event_within(self, limit_ms):
        due_ms = self.clock.now_ms() + limit_ms
        at_ms, event = self.script.pop(0) if self.script else (10**9, None)
        until_ms = min(due_ms, self.sent_ms + at_ms)
        if until_ms > self.clock.now_ms():
            await self.clock.sleep_ms(until_ms - self.clock.now_ms())
        return event if self.sent_ms + at_ms <= due_ms else None

    def close(self):
        self.is_closed = True


class _Pool:
    """Opens connections by scripts, in order; the last script is repeated."""

    def __init__(self, clock, scripts):
        self.clock = clock
        self.scripts = scripts
        self.script_by_address = {}
        self.opened = []
        self.released = []
        self.addresses = []

    async def acquire(self, address, *, connect_ms, fresh=False):
        script = self.scripts[min(len(self.addresses), len(self.scripts) - 1)]
        script = self.script_by_address.get(address, script)
        self.addresses.append(address)
        if script == "cut":
            await self.clock.sleep_ms(connect_ms)
            return NotConnected("no connection")
        if script is None:
            return NotConnected("refused", is_refused=True)
        self.opened.append(_Connection(self.clock, script))
        return self.opened[-1]

    def release(self, connection):
        self.released.append(connection)

    def close_idle(self, address):
        pass


class _Gate(OpenGate):
    """Admits the sends of a request in this way, each after a time in ms."""

    def __init__(self, *admissions):
        self.admissions = list(admissions)
        self.ended = []

    async def admit(self, fingerprint):
        wait_ms, admission = self.admissions.pop(0)
        await self.clock.sleep_ms(wait_ms)
        return admission

    def end_trial(self, trial, *, was_sent, begun_at):
        self.ended.append(was_sent)


class _Reply:
    """Records what the caller receives."""

    def __init__(self):
        self.bodies = []
        self.stream = b""
        self.begun = self.ended = 0

    async def send_response(self, head, body):
        self.bodies.append(body)

    async def begin_stream(self, head):
        self.begun += 1

    async def send_event(self, data):
        self.stream += data

    async def end_stream(self):
        self.ended += 1


def answer(body, at_ms, head=OK_HEAD):
    return [(at_ms, head), (at_ms, BodyPart(body)), (at_ms, End())]


def stream(name, *at_ms):
    """Return a stream with an event at each time, all from one replica."""
    events = [
        (ms, BodyPart(b"id: %d\ndata: %s\n\n" % (number, name)))
        for number, ms in enumerate(at_ms)
    ]
    return [(0, OK_HEAD), *events, (at_ms[-1], End())]


async def finish(*tasks):
    """Return the results or exceptions of tasks; a task that hangs fails the test."""
    async with asyncio.timeout(_TEST_TIMEOUT_S):
        return await asyncio.gather(*tasks, return_exceptions=True)


class Case:
    """A node with some replicas whose answers begin within 100 ms as a rule."""

    def __init__(self, scripts, *, budget=10, replicas=3, gate=None):
        self.clock = ManualClock(0)
        self.gate = gate or OpenGate()
        self.gate.clock = self.clock
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{number}") for number in range(replicas)]
        self.directory.on_full_read(0, entries, after_outage=False)
        self.pool = _Pool(self.clock, scripts)
        self.hedging = Hedging()
        for _ in range(40):
            self.hedging.times.on_begun("r", 55.0, 100.0)
            self.hedging.second_sends.on_sent(0, "s")
        cost = SilentReplicaCost(self.hedging.silent)
        self.reply = _Reply()
        self.trace = Trace()
        self.forwarder = Forwarder(
            clock=self.clock,
            pool=self.pool,
            chooser=Chooser(
                self.directory, failure_domain="a", cost_terms=[cost], seed=1
            ),
            budget=RetryBudget(ratio=0.0, extra=budget, window_ms=10_000),
            weights=WeightVersions(version_ms=12_000),
            planner=PartPlanner(),
            gate=self.gate,
            reach=MagicMock(),
            notices=MagicMock(),
            hedging=self.hedging,
        )

    def start(self, kind=RouteKind.IDEMPOTENT, *, attempts=2, arrived_ms=0):
        shares = (ServiceShare("s", 1),)
        route = Route("r", "h", "/", kind, 3_000, 200, 0, attempts, shares)
        if kind is RouteKind.STREAM:
            route = Route(
                "r", "h", "/", kind, 3_000, 200, 0, attempts, shares, is_resumable=True
            )
        serving = self.forwarder.serve(
            CALLER,
            b"",
            Allowed(route, "s", None, 1),
            arrived_ms=arrived_ms,
            reply=self.reply,
            trace=self.trace,
        )
        return asyncio.create_task(serving)

    async def run(self, *args, **options):
        serving = self.start(*args, **options)
        await self.clock.advance_ms(3_100)
        return (await finish(serving))[0]

    @property
    def counters(self):
        return {
            (state.in_flight, state.resident_tokens, state.unprefilled_tokens)
            for state in self.directory.all()
        }


class SecondSendTests(unittest.IsolatedAsyncioTestCase):
    def assert_counters_released(self, case):
        self.assertEqual(case.counters, {(0, 0, 0)})
        for connection in case.pool.opened:
            is_released = connection in case.pool.released
            self.assertNotEqual(is_released, connection.is_closed)

    async def test_a_hanging_replica_delays_a_repeatable_request_by_its_overdue_time(
        self,
    ):
        """Guards against callers that wait for the kernel to close the connection."""
        case = Case([[], answer(b"b", 50)])
        serving = case.start()
        await case.clock.advance_ms(151)
        self.assertTrue(serving.done())
        self.assertEqual(serving.result(), Answered())
        self.assertEqual(case.reply.bodies, [b"b"])
        self.assertEqual(len(set(case.pool.addresses)), 2)
        fields = case.trace.fields()
        self.assertEqual(fields["second_send"], "slow")
        self.assertEqual(fields["second_winner"], "second")
        self.assertEqual((fields["sends"], fields["second_after_ms"]), (2, 100))
        self.assertEqual(case.hedging.second_sends.cancelled, 1)
        self.assert_counters_released(case)

    async def test_the_first_answer_wins_if_it_begins_first(self):
        case = Case([answer(b"a", 120), answer(b"b", 50)])
        self.assertEqual(await case.run(), Answered())
        self.assertEqual(case.reply.bodies, [b"a"])
        self.assertEqual(case.trace.second_winner, "first")
        self.assertEqual(case.trace.replica, case.pool.addresses[0].split(":")[0])
        self.assert_counters_released(case)

    async def test_requests_that_may_not_be_repeated_are_sent_once(self):
        """Guards against a record that is written twice."""
        for kind, attempts in (
            (RouteKind.NON_IDEMPOTENT, 3),
            (RouteKind.IDEMPOTENT, 1),
        ):
            case = Case([[], answer(b"b", 50)])
            self.assertIsInstance(await case.run(kind, attempts=attempts), Unknown)
            self.assertEqual(len(case.pool.opened), 1)
            self.assert_counters_released(case)

    async def test_without_budget_or_free_slots_there_is_no_second_send(self):
        case = Case([[]], budget=0)
        await case.run()
        self.assertEqual(len(case.pool.opened), 1)
        self.assertEqual(case.trace.second_refused, "no_budget")
        case = Case([[]])
        for state in case.directory.all():
            state.in_flight = 4
        serving = case.start()
        await case.clock.advance_ms(160)
        self.assertEqual(case.trace.second_refused, "no_slot")
        serving.cancel()
        await finish(serving)

    async def test_a_caller_that_leaves_cancels_both_sends(self):
        """Guards against replicas that go on working for a caller that has left."""
        case = Case([[], []])
        serving = case.start()
        await case.clock.advance_ms(110)
        self.assertEqual([each.was_sent for each in case.pool.opened], [True, True])
        serving.cancel()
        await finish(serving)
        self.assertTrue(all(each.is_closed for each in case.pool.opened))
        self.assert_counters_released(case)

    async def test_a_failure_of_one_send_does_not_end_the_other(self):
        case = Case([answer(b"e", 110, ERROR_HEAD), answer(b"b", 50)])
        self.assertEqual(await case.run(), Answered())
        self.assertEqual(case.reply.bodies, [b"b"])
        self.assert_counters_released(case)

    async def test_two_failed_sends_count_as_two_attempts(self):
        case = Case([[(150, BROKEN)], [(80, BROKEN)], answer(b"c", 1)])
        self.assertIsInstance(await case.run(), Unknown)
        self.assertEqual(len(case.pool.opened), 2)
        self.assert_counters_released(case)

    async def test_a_cancelled_send_counts_as_a_possible_run(self):
        """Guards against a third run after the response that won has broken."""
        broken = [*stream(b"b", 10, 20)[:2], (15, BROKEN)]
        case = Case([[], broken, stream(b"c", 10)])
        self.assertIsInstance(await case.run(RouteKind.STREAM), Unknown)
        self.assertEqual(len(case.pool.opened), 2)
        self.assertNotIn(b"data: c", case.reply.stream)
        self.assert_counters_released(case)

    async def test_a_second_send_that_cannot_connect_leaves_the_first_one(self):
        case = Case([answer(b"a", 400), None])
        self.assertEqual(await case.run(), Answered())
        self.assertEqual(case.reply.bodies, [b"a"])
        self.assertEqual(case.trace.sends, 1)
        self.assert_counters_released(case)

    async def test_a_second_send_is_not_made_on_trial(self):
        """Guards against a suspect that runs on two replicas at once.

        A request of the same content became a suspect after the first send.
        """
        gate = _Gate((0, Free()), (0, Trial("f", 7)))
        case = Case([answer(b"a", 400), answer(b"b", 50)], gate=gate)
        self.assertEqual(await case.run(), Answered())
        self.assertEqual(len(case.pool.opened), 1)
        self.assertEqual(case.trace.second_refused, "on_trial")
        self.assertEqual(gate.ended, [False])
        self.assert_counters_released(case)

    async def test_a_replica_that_leaves_during_admission_gets_no_second_send(self):
        """Guards against requests to replicas that have asked for none."""
        gate = _Gate((0, Free()), (100, Free()))
        case = Case([answer(b"a", 400), answer(b"b", 50)], gate=gate)
        serving = case.start()
        await case.clock.advance_ms(150)
        for state in case.directory.all():
            state.backpressure.changes += 1
        await case.clock.advance_ms(3_000)
        self.assertTrue(serving.done())
        self.assertEqual(case.reply.bodies, [b"a"])
        self.assertEqual([each.was_sent for each in case.pool.opened], [True, False])
        self.assertEqual(case.counters, {(0, 0, 0)})

    async def test_without_any_connection_it_has_not_run(self):
        case = Case([None])
        self.assertIsInstance(await case.run(), NotRun)

    async def test_waiting_requests_move_when_their_replica_is_found_silent(self):
        """Guards against requests that each wait until their own time is overdue."""
        case = Case([[], [], answer(b"b", 10)], replicas=2)
        r0, r1 = case.directory.all()
        r1.in_flight = 3
        case.start(RouteKind.NON_IDEMPOTENT)
        await case.clock.advance_ms(195)
        moved = case.start()
        await case.clock.advance_ms(54)
        self.assertEqual(len(set(case.pool.addresses)), 1)
        await case.clock.advance_ms(20)
        self.assertTrue(moved.done())
        self.assertEqual(moved.result(), Answered())
        self.assertEqual(case.trace.second_send, "unresponsive")
        self.assertEqual(len(set(case.pool.addresses)), 2)
        self.assertTrue(r0.is_suspect(case.clock.now_ms()))

    async def test_many_overdue_responses_at_once_stop_second_sends(self):
        """Guards against doubling the load when all replicas are slow."""
        case = Case([answer(b"a", 600)], budget=1_000, replicas=8)
        servings = [case.start() for _ in range(20)]
        await case.clock.advance_ms(2_000)
        self.assertEqual(await finish(*servings), [Answered()] * 20)
        self.assertEqual(len(case.reply.bodies), 20)
        self.assertLessEqual(case.hedging.second_sends.made, 12)
        self.assert_counters_released(case)


class UnresponsiveReplicasTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_fifth_of_the_replicas_stops_responding(self):
        """Guards against requests that wait 1 to 3 s for replicas that hang.

        Two of ten replicas accept requests and return nothing from second 2.5 on.
        """
        case = Case([answer(b"a", 60)], budget=60, replicas=10)
        took_ms = []

        async def serve():
            begun_ms = case.clock.now_ms()
            serving = case.forwarder.serve(
                CALLER,
                b"",
                Allowed(ROUTE, "s", None, 1),
                arrived_ms=begun_ms,
                reply=case.reply,
                trace=Trace(),
            )
            self.assertEqual(await serving, Answered())
            took_ms.append(case.clock.now_ms() - begun_ms)

        tasks = []
        for number in range(200):
            if number == 50:
                case.pool.script_by_address = {"r0:80": [], "r1:80": []}
            tasks.append(asyncio.create_task(serve()))
            await case.clock.advance_ms(50)
        await case.clock.advance_ms(3_000)
        self.assertEqual(await finish(*tasks), [None] * 200)
        self.assertLessEqual(max(took_ms), 350)
        self.assertLessEqual(sum(each > 100 for each in took_ms), 12)
        self.assertEqual(case.counters, {(0, 0, 0)})

    async def test_a_failed_connection_moves_requests_that_wait_at_that_replica(self):
        """Guards against waiting at a replica to which the link has just been cut."""
        case = Case([[], "cut", answer(b"b", 10)], replicas=2)
        case.hedging.times._ratios_by_route.clear()
        case.directory.all()[1].in_flight = 2
        waiting = case.start()
        await case.clock.advance_ms(10)
        case.start(RouteKind.NON_IDEMPOTENT)
        await case.clock.advance_ms(400)
        self.assertEqual(len({*case.pool.addresses[:2]}), 1)
        self.assertTrue(waiting.done())
        self.assertEqual(waiting.result(), Answered())

    async def test_a_connection_attempt_cut_short_by_a_deadline_moves_no_request(self):
        """Guards against second sends because of a caller with little time left."""
        case = Case([[], "cut", answer(b"b", 10)], replicas=2)
        case.hedging.times._ratios_by_route.clear()
        case.directory.all()[1].in_flight = 2
        waiting = case.start()
        await case.clock.advance_ms(10)
        case.start(RouteKind.NON_IDEMPOTENT, arrived_ms=-2_985)
        await case.clock.advance_ms(200)
        self.assertEqual(len(case.pool.addresses), 2)
        waiting.cancel()
        await finish(waiting)


class AnswerTests(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6))
    def test_the_caller_receives_one_answer_from_one_replica(self, seed):
        """Guards against a stream that is put together from two replicas."""
        asyncio.run(self.check(random.Random(seed)))

    async def check(self, rng):
        def script(name):
            if rng.random() < 0.2:
                return [(rng.randrange(300), BROKEN)]
            start_ms = rng.choice((0, 50, 99, 100, 101, 150, 200))
            return stream(name, *(start_ms + step * 7 for step in range(3)))

        names = (b"a", b"b")
        case = Case([script(names[0]), script(names[1]), [(0, BROKEN)]])
        serving = case.start(RouteKind.STREAM)
        if rng.random() < 0.2:
            await case.clock.advance_ms(rng.randrange(300))
            serving.cancel()
        await case.clock.advance_ms(3_100)
        (outcome,) = await finish(serving)
        received = case.reply.stream
        self.assertFalse(b"data: a" in received and b"data: b" in received)
        self.assertLessEqual(case.reply.begun, 1)
        if outcome == Answered():
            self.assertEqual(received.count(b"data"), 3)
            self.assertEqual(case.reply.ended, 1)
        self.assertEqual(case.counters, {(0, 0, 0)})
        self.assertLessEqual(len(case.pool.opened), 2)
