"""Random sends of one request: truthful outcomes, and everything released."""

import asyncio
import random
import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.deployment import RouteKind
from fireflyward.http1 import Broken, BrokenAt, End, Head
from fireflyward.outcomes import Answered, NotRun
from fireflyward.quarantine import Free, Held, Trial

from .send_case import (
    BROKEN,
    ERROR_HEAD,
    OK_HEAD,
    Case,
    ScriptedGate,
    answer,
    finish,
    stream,
)

NOT_RUN_HEAD = Head(503, "", (("x-not-executed", "1"), ("x-request-id", "q1")))
LIMITED_HEAD = Head(429, "", OK_HEAD.headers)
NOT_SENT = [(0, Broken(BrokenAt.UNSENT, "closed"))]
NOT_RUN = [(101, NOT_RUN_HEAD), (101, End())]
SCRIPTS = (NOT_SENT, NOT_RUN, [], "cut", None)
AT_MS = (0, 50, 99, 100, 101, 150, 200, 300)


def script(rng, kind, name):
    at_ms = rng.choice(AT_MS)
    if rng.random() < 0.5:
        if kind is RouteKind.STREAM:
            events = stream(name, at_ms, at_ms + 7, at_ms + 14)
            return rng.choice((events, [*events[:2], (at_ms + 30, BROKEN)]))
        return answer(name, at_ms)
    failed = answer(b"e", at_ms, rng.choice((ERROR_HEAD, LIMITED_HEAD)))
    return rng.choice((*SCRIPTS, failed, [(at_ms, BROKEN)]))


def may_have_run(connection):
    """Return whether a replica received the request and did not report otherwise."""
    return connection.was_sent and connection.full_script not in (NOT_SENT, NOT_RUN)


class OutcomeTests(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6))
    def test_outcomes_are_true_and_counters_released(self, seed):
        """Guards against "not run" after a run, and against counters that leak.

        Replicas fail in all ways, and some callers leave at any moment.
        """
        asyncio.run(self.check(random.Random(seed)))

    async def check(self, rng):
        kind = rng.choice(tuple(RouteKind))
        attempts = rng.choice((1, 2, 2, 3))
        admissions = (Free(), Free(), Free(), Held("h", 100), Trial("f", 7))
        gate = ScriptedGate(
            (0, Free()),
            *((rng.choice((0, 20)), rng.choice(admissions)) for _ in range(9)),
        )
        case = Case([script(rng, kind, b"%d" % each) for each in range(6)], gate=gate)
        serving = case.start(kind, attempts=attempts)
        if rng.random() < 0.4:
            await case.clock.advance_ms(rng.choice((0, 99, 100, 101, 150, 300)))
            for _ in range(rng.randrange(8)):
                await asyncio.sleep(0)
            serving.cancel()
        await case.clock.advance_ms(3_600)
        (outcome,) = await finish(serving)
        runs = sum(map(may_have_run, case.pool.opened))
        self.assertLessEqual(runs, attempts)
        if kind is RouteKind.NON_IDEMPOTENT:
            self.assertLessEqual(runs, 1)
        if isinstance(outcome, NotRun):
            self.assertEqual(runs, 0)
        if not isinstance(outcome, asyncio.CancelledError):
            answers = len(case.reply.bodies) + case.reply.ended
            self.assertEqual(answers, isinstance(outcome, Answered))
        self.assertEqual(case.counters, {(0, 0, 0)})
        for connection in case.pool.opened:
            is_released = connection in case.pool.released
            self.assertNotEqual(is_released, connection.is_closed)
