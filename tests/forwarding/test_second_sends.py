"""Two sends of one request: one answer, and counters that return to zero."""

import asyncio
import random
import unittest
import unittest.mock
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from fireflyward.deployment import RouteKind
from fireflyward.forwarding import Trace
from fireflyward.http1 import End, Head
from fireflyward.outcomes import Answered, NotRun, Unknown
from fireflyward.quarantine import Free, Trial
from fireflyward.replicas import Chooser
from fireflyward.routes import Allowed

from .send_case import (
    BROKEN,
    CALLER,
    ERROR_HEAD,
    OK_HEAD,
    ROUTE,
    Case,
    ScriptedGate,
    answer,
    finish,
    stream,
)


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

    async def test_there_is_no_second_send_where_it_would_preempt_runs(self):
        """Guards against streams that pause because of a send that isn't needed."""
        choose = Chooser.choose

        def choose_without_room(chooser, *args, without=frozenset()):
            choice = choose(chooser, *args, without=without)
            return replace(choice, has_room=not without)

        with unittest.mock.patch.object(Chooser, "choose", choose_without_room):
            case = Case([[]])
            await case.run()
        self.assertEqual(len(case.pool.opened), 1)
        self.assertEqual(case.trace.second_refused, "no_room")

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
        self.assertEqual(case.hedging.second_sends.cancelled, 0)
        self.assert_counters_released(case)

    async def test_the_trace_names_the_replica_of_each_failed_send(self):
        """Guards against a failure without a log line, or with another replica's."""
        case = Case([[(150, BROKEN)], answer(b"b", 80)])
        self.assertEqual(await case.run(), Answered())
        first, second = (each.split(":")[0] for each in case.pool.addresses)
        self.assertEqual(case.trace.earlier, [f"{first}: Failed reset"])
        self.assertEqual(case.trace.replica, second)
        case = Case([[(150, BROKEN)], [(80, BROKEN)], answer(b"c", 1)])
        await case.run(attempts=3)
        first, second, _ = (each.split(":")[0] for each in case.pool.addresses)
        expected = [f"{first}: Failed reset", f"{second}: Failed reset"]
        self.assertEqual(case.trace.earlier, expected)

    async def test_a_status_that_is_not_forwarded_does_not_end_the_other_send(self):
        """Guards against 502 while the other replica's response is about to begin."""
        for status in (408, 429):
            head = Head(status, "", OK_HEAD.headers)
            case = Case([answer(b"a", 110, head), answer(b"b", 50)])
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

    async def test_an_answer_that_ended_after_its_head_is_not_the_answer(self):
        """Guards against an empty 200 from the replica that began first."""
        empty = [(50, OK_HEAD), (50, End())]
        for kind, name in ((RouteKind.IDEMPOTENT, b"c"), (RouteKind.STREAM, b"a")):
            case = Case([stream(b"a", 400)[1:], empty, stream(b"c", 10)])
            case.pool.scripts[0][:0] = [(390, OK_HEAD)]
            serving = case.start(kind, attempts=3)
            await case.clock.advance_ms(110)
            case.pool.opened[1].ends_response = True
            await case.clock.advance_ms(3_000)
            self.assertEqual(serving.result(), Answered(), kind)
            received = case.reply.stream or b"".join(case.reply.bodies)
            self.assertEqual(received, b"id: 0\ndata: %s\n\n" % name)
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
        gate = ScriptedGate((0, Free()), (0, Trial("f", 7)))
        case = Case([answer(b"a", 400), answer(b"b", 50)], gate=gate)
        self.assertEqual(await case.run(), Answered())
        self.assertEqual(len(case.pool.opened), 1)
        self.assertEqual(case.trace.second_refused, "on_trial")
        self.assertEqual(gate.ended, [False])
        self.assert_counters_released(case)

    async def test_a_replica_that_leaves_during_admission_gets_no_second_send(self):
        """Guards against requests to replicas that have asked for none."""
        gate = ScriptedGate((0, Free()), (100, Free()))
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
