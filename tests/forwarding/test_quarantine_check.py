"""A request checks the quarantine before each send and reports the results."""

import unittest

from fireflyward.forwarding import Failed, WholeAnswer
from fireflyward.forwarding._messages import Streamed
from fireflyward.forwarding._quarantine_check import QuarantineCheck
from fireflyward.http1 import Head
from fireflyward.poison import AnyPart, PartOnTrial
from fireflyward.quarantine import Free, Held, Trial
from fireflyward.replicas import Choice, ReplicaState
from tests.replicas.makers import entry

TRIAL = Trial("f", 7)
HELD = Held("three ended", 1_000)


class _Gate:
    """Returns the given answers in order, and records the calls that it receives."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def admit(self, fingerprint):
        return self.answers.pop(0)

    def end_trial(self, trial, *, was_sent, begun_at):
        self.calls.append(("trial over", was_sent, begun_at))

    def on_cut(self, fingerprint, replica, *, is_late):
        self.calls.append(("cut", replica, is_late))

    def on_refused(self, replica):
        self.calls.append(("refused", replica))

    def on_answered(self, fingerprint):
        self.calls.append(("answered", fingerprint))


class _PartGate(AnyPart):
    """Returns the given answers in order, and records the results."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def admit(self, parts):
        return self.answers.pop(0)

    def on_cut(self, parts, replica):
        self.calls.append(("cut", parts))

    def on_answered(self, parts):
        self.calls.append(("answered", parts))


class PartCheckTests(unittest.IsolatedAsyncioTestCase):
    """Checks of the parts of a prompt."""

    def check(self, *answers):
        self.gate = _Gate(*[Free()] * 3)
        self.parts = _PartGate(*answers)
        return QuarantineCheck(self.gate, "f", self.parts, (7, 8))

    async def test_a_held_part_keeps_the_request_from_replicas(self):
        self.assertEqual(await self.check(HELD).admit(), HELD)

    async def test_a_trial_of_a_part_permits_one_send(self):
        """Guards against a second replica that crashes in one trial."""
        check = self.check(PartOnTrial(7))
        self.assertIsNone(await check.admit())
        self.assertTrue(check.is_on_trial)
        replica = ReplicaState(entry("r1"))
        check.on_send(Choice(replica, None))
        check.on_result(replica, Failed("reset"))
        self.assertIsInstance(await check.admit(), Held)
        self.assertEqual(self.parts.calls, [("cut", (7, 8))])

    async def test_a_held_part_gives_a_trial_of_the_request_back(self):
        """Guards against a trial that no other request can have for half a minute."""
        check = self.check(HELD)
        self.gate.answers = [TRIAL]
        self.assertEqual(await check.admit(), HELD)
        check.close()
        self.assertEqual(self.gate.calls, [("trial over", False, None)])

    async def test_answers_and_cuts_are_reported(self):
        check = self.check(Free())
        replica = ReplicaState(entry("r1"))
        check.on_result(replica, Streamed())
        check.on_result(replica, Failed("reset"))
        self.assertEqual(self.parts.calls, [("answered", (7, 8)), ("cut", (7, 8))])


class QuarantineCheckTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.replica = ReplicaState(entry("r1"))

    def check(self, *answers):
        self.gate = _Gate(*answers)
        return QuarantineCheck(self.gate, "f", AnyPart(), ())

    async def test_each_send_requests_admission_from_the_gate(self):
        """Guards against an idempotent request crashing two more replicas than allowed.

        The first send of the request crashed the third replica.
        """
        check = self.check(Free(), HELD)
        self.assertIsNone(await check.admit())
        check.on_send(Choice(self.replica, None))
        self.assertEqual(await check.admit(), HELD)

    async def test_a_trial_permits_one_send(self):
        check = self.check(TRIAL)
        self.assertIsNone(await check.admit())
        check.on_send(Choice(self.replica, None))
        self.assertIsInstance(await check.admit(), Held)

    async def test_a_trial_without_a_connection_may_go_to_another_replica(self):
        check = self.check(Free(), TRIAL)
        await check.admit()
        check.on_send(Choice(self.replica, None))
        await check.admit()
        check.on_connect_failed(self.replica, is_refused=True)
        self.assertIsNone(await check.admit())
        self.assertEqual(self.gate.calls, [("refused", self.replica)])

    async def test_a_trial_ends_with_its_request(self):
        check = self.check(TRIAL)
        await check.admit()
        check.close()
        self.assertEqual(self.gate.calls, [("trial over", False, None)])

    async def test_only_an_idle_replica_certainly_began(self):
        for queue_ms, begun_at in ((0.0, self.replica), (400.0, None)):
            check = self.check(TRIAL)
            await check.admit()
            check.on_send(Choice(self.replica, None, queue_ms=queue_ms))
            check.close()
            self.assertEqual(self.gate.calls, [("trial over", True, begun_at)])

    def test_results_of_sends_are_reported(self):
        reports = {
            Failed("closed"): ("cut", self.replica, False),
            Failed("deadline", is_late=True): ("cut", self.replica, True),
            Streamed(): ("answered", "f"),
            WholeAnswer(Head(200, "OK", ()), b""): ("answered", "f"),
        }
        for result, report in reports.items():
            check = self.check()
            check.on_result(self.replica, result)
            self.assertEqual(self.gate.calls, [report])

    def test_an_error_status_clears_nothing(self):
        """Guards against one 500 response clearing a request that crashes replicas."""
        check = self.check()
        check.on_result(self.replica, WholeAnswer(Head(500, "X", ()), b""))
        self.assertEqual(self.gate.calls, [])
