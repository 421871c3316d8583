"""Structured log lines: their content and their limited volume."""

import logging
import os
import unittest

import msgspec

from fireflyward.clock import ManualClock
from fireflyward.fleet._logs import LineHandler
from fireflyward.observe import PER_REQUEST, PROOF


class LineHandlerTests(unittest.TestCase):
    def setUp(self):
        self.reading, writing = os.pipe()
        self.clock = ManualClock(5_000)
        self.handler = LineHandler(writing, clock=self.clock)
        self.logger = logging.getLogger("test.lines")
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)
        self.logger.addHandler(self.handler)
        self.addCleanup(self.logger.removeHandler, self.handler)
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)

    def lines(self):
        text = os.read(self.reading, 1 << 20)
        return [msgspec.json.decode(line) for line in text.splitlines()]

    def test_a_line_has_part_message_and_fields(self):
        fields = {"request": "r1", "detail": "", "took_ms": 0}
        self.logger.info("callers: %s", "answered", extra={"fields": fields})
        (line,) = self.lines()
        self.assertEqual((line["part"], line["message"]), ("callers", "answered"))
        self.assertEqual((line["request"], line["took_ms"]), ("r1", 0))
        self.assertNotIn("detail", line)
        self.assertEqual(line["ms"], 5_000)

    def test_a_line_that_cannot_be_encoded_fails_no_caller(self):
        """Guards against a log call that ends the task or request it tells of."""
        for value in (
            "\ud800",
            2**70,
            10**5_000,
            float("inf"),
            object(),
            {1: object()},
            b"\xff",
        ):
            with self.subTest(kind=type(value)):
                self.logger.info("x: %s", "y", extra={"fields": {"value": value}})
                (line,) = self.lines()
                self.assertEqual(line["part"], "x")
                self.assertIn("value", line)

    def test_lines_above_the_limit_are_counted_except_warnings(self):
        for number in range(100):
            self.logger.info("x: %d", number, extra=PER_REQUEST)
        self.logger.warning("x: last")
        lines = self.lines()
        self.assertLess(len(lines), 70)
        self.assertEqual(lines[-1]["message"], "last")
        self.assertEqual(lines[-1]["dropped_before"], 100 - (len(lines) - 1))

    def test_proofs_are_logged_among_hundreds_of_requests(self):
        """Guards against a log without the reason of a caller's "not run"."""
        for number in range(300):
            self.logger.info("callers: answered %d", number, extra=PER_REQUEST)
        for number in range(100):
            self.logger.info("callers: not_run %d", number, extra=PROOF)
        messages = [line["message"] for line in self.lines()]
        self.assertIn("not_run 50", messages)
        self.assertLess(len(messages), 130)

    def test_a_changed_belief_is_logged_among_hundreds_of_requests(self):
        """Guards against a log without the line of a version that was named."""
        for number in range(300):
            self.logger.info("callers: %d", number, extra=PER_REQUEST)
        for number in range(100):
            self.logger.info("views: %d named", number)
        messages = [line["message"] for line in self.lines()]
        self.assertEqual(messages[-100:], [f"{n} named" for n in range(100)])
        self.assertLess(len(messages), 170)

    def test_a_changed_belief_is_logged_once_a_full_pipe_is_read(self):
        """Guards against a dropped line while no process reads the log."""
        while not self.handler._waiting:
            self.logger.info("x: %s", "y" * 500)
        self.logger.info("views: 2 named")
        self.logger.info("callers: answered", extra=PER_REQUEST)
        before = self.lines()
        self.logger.info("callers: answered", extra=PER_REQUEST)
        after = [line["message"] for line in self.lines()]
        self.assertEqual(after, ["y" * 500, "2 named", "answered"])
        self.assertNotIn("2 named", [line["message"] for line in before])

    def test_a_slow_reader_does_not_block_the_process(self):
        """Guards against requests that wait while no process reads the log.

        The pipe is full, and a blocking write stops the event loop.
        """
        for _ in range(200):
            self.clock._now_ms += 1_000
            for _ in range(50):
                self.logger.info("x: %s", "y" * 500)
        self.assertGreater(len(self.lines()), 10)
