"""What a request reports about the speed of its replica, and what its log line has."""

import unittest
from unittest.mock import AsyncMock, MagicMock

from fireflyward.clock import ManualClock
from fireflyward.forwarding import Trace
from fireflyward.forwarding._exchange import Exchange, StreamProgress
from fireflyward.http1 import BodyPart, End, Head
from fireflyward.replicas import Chooser, ReplicaDirectory, Requirements
from tests.replicas.makers import entry

_HEADERS = (
    ("x-request-id", "q1"),
    ("x-server-seal", "s"),
    ("x-server-load", "1,0,8,250"),
)


class _Connection:
    """Returns one part of the stream every 40 ms."""

    relay = ""
    label = "port 1, 0 responses"

    def __init__(self, clock):
        self.clock = clock
        self.events = [
            Head(200, "", _HEADERS),
            BodyPart(b"data: a\n\n"),
            BodyPart(b"data: b\n\n"),
            End(),
        ]

    async def next_event_within(self, limit_ms):
        self.clock._now_ms += 40
        return self.events.pop(0)


class SpeedReportTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry("r1")])
        self.replica = self.directory.find("r1")

    async def test_a_stream_reports_its_speed_before_its_first_event(self):
        """Guards against learning from the first event with the former figure."""
        clock, calls = ManualClock(0), []
        speeds = MagicMock()
        speeds.on_response.side_effect = lambda *_: calls.append("speed")
        await Exchange(
            _Connection(clock),
            clock=clock,
            pool=MagicMock(),
            replica=self.replica,
            notices=MagicMock(),
            speeds=speeds,
            request_id="q1",
            due_ms=1_000,
            is_stream=True,
            max_output_tokens=4,
            progress=StreamProgress(),
            reply=AsyncMock(),
            on_begun=lambda: None,
            on_event=lambda: None,
            claim=lambda: True,
            on_first_data=lambda: calls.append("first data"),
            on_pause=calls.append,
            on_weights=lambda version: None,
        ).read()
        self.assertEqual(calls, ["speed", "first data", 40])
        ((replica, facts), _) = speeds.on_response.call_args
        self.assertEqual((replica, facts.load.work_percent), (self.replica, 250))
        self.assertEqual(self.replica.other_requests(clock.now_ms()), 1 * 0.5**0.12)

    async def test_the_log_line_contains_the_figure_and_its_age(self):
        self.replica.speed.record(0, 250)
        chooser = Chooser(self.directory, failure_domain="a", seed=1)
        trace = Trace()
        trace.on_choice(chooser.choose(120, Requirements("s")))
        self.assertEqual(trace.fields()["work_percent"], 250)
        self.assertEqual(trace.fields()["work_percent_age_ms"], 120)

    async def test_the_log_line_has_no_figure_where_replicas_report_none(self):
        chooser = Chooser(self.directory, failure_domain="a", seed=1)
        trace = Trace()
        trace.on_choice(chooser.choose(120, Requirements("s")))
        self.assertNotIn("work_percent", trace.fields())
