"""A request and the quarantine: asked before each send, told what came of it."""

import unittest

from fireflyward.forwarding import Failed, WholeAnswer
from fireflyward.forwarding._messages import Streamed
from fireflyward.forwarding._send_check import SendCheck
from fireflyward.http1 import Head
from fireflyward.quarantine import Free, Held, Trial
from fireflyward.replicas import Choice, ReplicaState
from tests.replicas.makers import entry

TRIAL = Trial("f", 7)
HELD = Held("three ended", 1_000)


class _Gate:
    """Answers as it is told, in order, and remembers what it hears."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.heard = []

    async def admit(self, fingerprint):
        return self.answers.pop(0)

    def end_trial(self, trial, *, was_sent, begun_at):
        self.heard.append(("trial over", was_sent, begun_at))

    def on_cut(self, fingerprint, replica, *, is_late):
        self.heard.append(("cut", replica, is_late))

    def on_refused(self, replica):
        self.heard.append(("refused", replica))

    def on_answered(self, fingerprint):
        self.heard.append(("answered", fingerprint))


class SendCheckTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.replica = ReplicaState(entry("r1"))

    def check(self, *answers):
        self.gate = _Gate(*answers)
        return SendCheck(self.gate, "f")

    async def test_each_send_asks_anew(self):
        """Symptom: a request that may repeat ends two replicas more than it may.

        Its first send was at the third replica that ended.
        """
        check = self.check(Free(), HELD)
        self.assertIsNone(await check.held_back())
        check.on_sending(Choice(self.replica, None))
        self.assertEqual(await check.held_back(), HELD)

    async def test_a_trial_is_one_send(self):
        check = self.check(TRIAL)
        self.assertIsNone(await check.held_back())
        check.on_sending(Choice(self.replica, None))
        self.assertIsInstance(await check.held_back(), Held)

    async def test_a_trial_that_found_no_connection_may_go_elsewhere(self):
        check = self.check(Free(), TRIAL)
        await check.held_back()
        check.on_sending(Choice(self.replica, None))
        await check.held_back()
        check.on_unreached(self.replica, is_refused=True)
        self.assertIsNone(await check.held_back())
        self.assertEqual(self.gate.heard, [("refused", self.replica)])

    async def test_a_trial_ends_with_its_request(self):
        check = self.check(TRIAL)
        await check.held_back()
        check.end()
        self.assertEqual(self.gate.heard, [("trial over", False, None)])

    async def test_only_an_idle_replica_surely_began(self):
        for queue_ms, begun_at in ((0.0, self.replica), (400.0, None)):
            check = self.check(TRIAL)
            await check.held_back()
            check.on_sending(Choice(self.replica, None, queue_ms=queue_ms))
            check.end()
            self.assertEqual(self.gate.heard, [("trial over", True, begun_at)])

    def test_what_a_send_came_to(self):
        ends = {
            Failed("closed"): ("cut", self.replica, False),
            Failed("deadline", is_late=True): ("cut", self.replica, True),
            Streamed(): ("answered", "f"),
            WholeAnswer(Head(200, "OK", ()), b""): ("answered", "f"),
        }
        for result, told in ends.items():
            check = self.check()
            check.on_result(self.replica, result)
            self.assertEqual(self.gate.heard, [told])

    def test_a_failure_of_the_replica_clears_nothing(self):
        """Symptom: a deadly request goes on, since one replica shed it with 500."""
        check = self.check()
        check.on_result(self.replica, WholeAnswer(Head(500, "X", ()), b""))
        self.assertEqual(self.gate.heard, [])
