"""A resumed stream reaches replicas of one software version only."""

import dataclasses
import unittest

from fireflyward.deployment import RouteKind
from fireflyward.http1 import BodyPart
from fireflyward.outcomes import Answered, NotRun
from fireflyward.platform import CallerRequest
from fireflyward.streams import Began, UnknownStream
from tests.replicas.makers import entry

from . import send_case
from .send_case import BROKEN, OK_HEAD, Case, stream

RESUMED = CallerRequest(
    "q1", "GET", "h", "/x", (), 3_000.0, last_event_id="0", first_request_id="q0"
)
_VERSIONS = ("v1", "v2", "v2", "v1", "v2", "v2")


class _Streams:
    """Knows one origin for all streams, and records those that begin."""

    def __init__(self, origin):
        self.origin = origin
        self.begun = []
        self.stored = None
        # How long new streams wait until they may begin.
        self.hold_ms = 0

    async def find(self, service, account, first_request_id):
        return self.origin

    def on_begun(self, service, account, request_id, software):
        self.begun.append((request_id, software))

    def has_several_versions(self, service):
        return True

    def begins_at(self, service):
        return self.stored

    async def until_may_begin(self, service, limit_ms):
        return self.stored != frozenset() and self.hold_ms <= limit_ms


class StreamVersionTests(unittest.IsolatedAsyncioTestCase):
    def case(self, scripts, origin=None):
        case = Case(scripts, replicas=0)
        entries = [
            dataclasses.replace(entry(f"r{number}"), software=software)
            for number, software in enumerate(_VERSIONS)
        ]
        case.directory.on_full_read(0, entries)
        self.software = {item.address: item.software for item in entries}
        self.streams = _Streams(origin)
        case.forwarder._deps = dataclasses.replace(
            case.forwarder._deps, streams=self.streams
        )
        return case

    async def run_resumed(self, case):
        return await self.run_for(case, RESUMED)

    async def run_for(self, case, caller, **options):
        usual, send_case.CALLER = send_case.CALLER, caller
        try:
            return await case.run(RouteKind.STREAM, attempts=3, **options)
        finally:
            send_case.CALLER = usual

    def versions_tried(self, case):
        return {self.software[address] for address in case.pool.addresses}

    async def test_a_second_send_goes_to_the_same_version(self):
        """Guards against a race of two sends at two versions for one stream."""
        for seed in range(10):
            case = self.case([[], stream(b"b", 5)], Began("v1", "node", True))
            case.forwarder._deps.chooser._random.seed(seed)
            self.assertEqual(await self.run_resumed(case), Answered())
            self.assertEqual(len(case.pool.opened), 2)
            self.assertEqual(self.versions_tried(case), {"v1"})

    async def test_replicas_that_cannot_be_reached_are_followed_by_the_same_version(
        self,
    ):
        case = self.case([None, None, stream(b"b", 5)], Began("v2", "node", True))
        self.assertEqual(await self.run_resumed(case), Answered())
        self.assertEqual(self.versions_tried(case), {"v2"})

    async def test_a_version_without_replicas_is_rejected_and_nothing_sent(self):
        case = self.case([stream(b"b", 5)], Began("v3", "node", True))
        outcome = await self.run_resumed(case)
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual(case.pool.addresses, [])

    async def test_an_unknown_stream_is_rejected_and_nothing_sent(self):
        case = self.case([stream(b"b", 5)], UnknownStream("nobody knows"))
        self.assertIsInstance(await self.run_resumed(case), NotRun)
        self.assertEqual(case.pool.addresses, [])

    async def test_the_first_event_binds_the_response(self):
        """Guards against a response that continues at another version."""
        broken = [(0, OK_HEAD), (5, BodyPart(b"id: 0\ndata: a\n\nid:")), (9, BROKEN)]
        for seed in range(10):
            case = self.case([broken, stream(b"b", 1, 2)])
            case.forwarder._deps.chooser._random.seed(seed)
            self.assertEqual(await case.run(RouteKind.STREAM), Answered())
            ((request_id, software),) = self.streams.begun
            self.assertEqual(request_id, "q1")
            self.assertEqual(self.versions_tried(case), {software})

    async def test_a_stream_begins_at_a_stored_version(self):
        """Guards against a version that is forgotten with all nodes."""
        for seed in range(10):
            case = self.case([stream(b"b", 1, 2)])
            self.streams.stored = frozenset({"v2"})
            case.forwarder._deps.chooser._random.seed(seed)
            self.assertEqual(await case.run(RouteKind.STREAM), Answered())
            self.assertEqual(self.versions_tried(case), {"v2"})

    async def test_a_retry_does_not_leave_the_stored_versions(self):
        """Guards against a version that is not stored, for want of untried replicas."""
        case = self.case([None, None, stream(b"b", 1, 2)])
        self.streams.stored = frozenset({"v2"})
        self.assertEqual(await case.run(RouteKind.STREAM), Answered())
        self.assertEqual(self.versions_tried(case), {"v2"})

    async def test_a_stream_is_rejected_while_no_version_is_stored(self):
        case = self.case([stream(b"b", 1, 2)])
        self.streams.stored = frozenset()
        outcome = await case.run(RouteKind.STREAM)
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual(case.pool.addresses, [])

    async def test_a_new_stream_may_wait_for_a_third_of_its_time(self):
        """Guards against a rejection of a stream that could begin in time."""
        caller = dataclasses.replace(send_case.CALLER, deadline_ms=9_000.0)
        for hold_ms, outcome_class in ((2_900, Answered), (3_100, NotRun)):
            case = self.case([stream(b"b", 1, 2)])
            self.streams.hold_ms = hold_ms
            outcome = await self.run_for(case, caller, timeout_ms=9_000)
            self.assertIsInstance(outcome, outcome_class)

    async def test_a_resumed_stream_stays_at_its_version(self):
        """Guards against a choice that is widened for a stream that has begun."""
        case = self.case([stream(b"b", 5)], Began("v0", "node", True))
        self.streams.stored = frozenset({"v2"})
        self.assertIsInstance(await self.run_resumed(case), NotRun)
        self.assertEqual(case.pool.addresses, [])


if __name__ == "__main__":
    unittest.main()
