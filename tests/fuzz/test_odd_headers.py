"""Odd headers of replicas and of callers, and odd answers of the store."""

import asyncio
import json
import unittest

from hypothesis import given, strategies as st

from fireflyward.aggregators import Aggregators
from fireflyward.backing import Position, Unavailable
from fireflyward.clock import Clock, ManualClock
from fireflyward.feeds import Changes, HistoryLost, Snapshot
from fireflyward.feeds._feeds_structs import FeedAsk
from fireflyward.http1 import ConnectionPool, Head
from fireflyward.notices import NoticeTask
from fireflyward.outcomes import NotRun
from fireflyward.peers import pack
from fireflyward.platform import (
    CallerRequest,
    ReplicaApi,
    ReplicaHeaders,
    StoreClient,
    decode_request,
    decode_response,
    encode_request,
)
from fireflyward.replicas import Chooser, RateLimits, ReplicaDirectory, Requirements
from fireflyward.speeds import PauseTimes, SpeedTask
from tests.fuzz.odd_values import TEXTS, changed
from tests.fuzz.profiles import fuzz
from tests.fuzz.test_platform_answers import _FixedResponder
from tests.platform.test_requests import HEADERS
from tests.positions import at
from tests.replicas.makers import entry

_NUMBERS = st.sampled_from(
    ("0", "1", "3.5", "-1", "1e3", "999999999", "9999999999", "9" * 400, "0.0000000001")
)
_VALUES = _NUMBERS | TEXTS | st.lists(_NUMBERS | TEXTS, max_size=5).map(",".join)
_REPLICA_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            ("x-server-load", "server-limit", "server-brittle", "server-leaving")
            + ("retry-after", "x-weight-versions", "x-instance-id", "x-request-id")
            + ("x-not-executed", "x-server-seal", "content-encoding")
        ),
        _VALUES,
    ),
    max_size=6,
)
_CALLER_HEADERS = st.lists(
    st.tuples(
        st.sampled_from([name for name, _ in HEADERS] + ["Last-Event-Id", "Resumes"]),
        _VALUES | _VALUES.map("a:{}".format) | st.just("a\udce9"),
    ),
    max_size=5,
)
_LARGEST_WAIT_MS = 10**12 + 1


class _PackingLink:
    """Encodes the messages that are sent."""

    def __init__(self):
        self.address = ("127.0.0.1", 1)

    def register(self, kind, struct_type, handle, **options):
        pass

    def send_all(self, addresses, kind, message):
        return bool(pack(message))


class HeaderTests(unittest.TestCase):
    @fuzz(150)
    @given(st.lists(st.tuples(st.sampled_from((200, 421, 503)), _REPLICA_HEADERS)))
    def test_odd_headers_of_a_replica_leave_the_others_in_use(self, answers):
        """Guards against a header that fails the choice of a replica, or a task."""
        asyncio.run(self.apply(answers))

    async def apply(self, answers):
        clock = ManualClock(10_000)
        directory = ReplicaDirectory()
        directory.on_full_read(0, [entry("r1"), entry("r2")])
        limits = RateLimits("n1", seed=1)
        limits.set_nodes(["n1", "n2"])
        chooser = Chooser(directory, failure_domain="a", rate_limits=limits, seed=1)
        aggregators = Aggregators("n1", "a", link_mbps=1_000)
        notices = NoticeTask(
            clock=clock, directory=directory, peers=lambda: [("n2", 1)], seed=1
        )
        speeds = SpeedTask(
            clock=clock,
            directory=directory,
            aggregators=aggregators,
            pauses=PauseTimes(),
        )
        for task in (notices, speeds):
            task.use(_PackingLink())
        odd, sound = directory.find("r1"), directory.find("r2")
        for status, headers in answers:
            facts = decode_response(Head(status, "", tuple(headers)))
            notices.on_response(odd, facts, sent_ms=clock.now_ms())
            speeds.on_response(odd, facts)
            if facts.load is not None:
                odd.on_load(clock.now_ms(), facts.load.running + facts.load.waiting)
            if facts.weights is not None:
                odd.on_loaded("m", facts.weights)
            await clock.advance_ms(60)
            now_ms = clock.now_ms()
            choice = chooser.choose(now_ms, Requirements("s"), without=frozenset())
            self.assertIsNotNone(choice)
            self.assertTrue(0 <= chooser.wait_ms(now_ms, "s") < _LARGEST_WAIT_MS)
            self.assertTrue(0 <= odd.backpressure.backoff_ms(now_ms) < _LARGEST_WAIT_MS)
            self.assertFalse(sound.is_leaving)
            self.assertIsNone(sound.backpressure.limit.per_second)
        notices._send([("n2", 1)], directory.all())

    @fuzz(200)
    @given(_CALLER_HEADERS)
    def test_odd_headers_of_a_caller_are_rejected_or_forwarded(self, headers):
        """Guards against a request that fails each time, or fails a task."""
        names = {name for name, _ in headers}
        usual = [item for item in HEADERS if item[0] not in names]
        found = decode_request("POST", "/a", [*usual, *headers])
        self.assertIsInstance(found, CallerRequest | NotRun)
        if isinstance(found, NotRun):
            return
        self.assertTrue(found.deadline_ms is None or 0 <= found.deadline_ms < 2**31)
        parts = [part.tokens for part in found.parts]
        for tokens in (found.prompt_tokens, found.max_output_tokens, *parts):
            self.assertTrue(0 <= tokens < 2**31)
        for _, value in encode_request(found, ReplicaHeaders("i", 5)):
            value.encode("utf-8", "surrogateescape")
        for text in (found.request_id, found.host, found.target, found.model):
            text.encode()


ROWS = {
    "rows": [{"key": "k", "table": "t", "part": "", "value": "djE=", "ver": 3}],
    "has-more": False,
    "ver": 7,
    "now-ms": 1_000.5,
}
REPORT = {
    "busy": False,
    "sequence": 2,
    "queued": 1,
    "active": 12,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "born": 7,
}
KV = {
    "boot-epoch": 7,
    "next": 9,
    "lost": False,
    "events": [[4, "+", "s1", "5c", 800, "m"], [5, "-", "s1", "5d", 0, "m"]],
    "held": [["s1", "5c", 800, "m"]],
}


class AnswerTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.server = _FixedResponder()
        cls.address = cls.runner.run(cls.server.start())
        cls.pool = ConnectionPool(Clock())

    @classmethod
    def tearDownClass(cls):
        cls.pool.close()
        cls.runner.run(cls.server.stop())
        cls.runner.close()

    def exchange(self, call, body):
        self.server.status, self.server.body = 200, body
        return self.runner.run(call)

    @fuzz(80)
    @given(changed(ROWS))
    def test_odd_answers_of_the_store_give_positions_that_messages_carry(self, body):
        """Guards against an answer that fails when it is passed to other nodes."""
        store = StoreClient(self.address, clock=Clock())
        self.addCleanup(store.close)
        rows = self.exchange(store.rows("t"), body)
        self.assertIsInstance(rows, Snapshot | Unavailable | HistoryLost)
        call = store.changes("t", after=at(1), wait_ms=0, limit_ms=500)
        changes = self.exchange(call, body)
        self.assertIsInstance(changes, Changes | Unavailable | HistoryLost)
        if isinstance(changes, Changes):
            for found in (changes.position, *(row.position for row in changes.rows)):
                self.assertGreaterEqual(found, Position(0, 0))
                self.assertTrue(pack(FeedAsk("t", found.version, 0, found.era)))
        if store.time is not None:
            self.assertTrue(0 < store.time.store_ms <= 2**53)

    @fuzz(80)
    @given(changed(REPORT), changed(KV))
    def test_odd_reports_and_events_have_numbers_that_messages_carry(self, one, other):
        """Guards against an answer that fails a task that sums up or passes it on."""
        api = ReplicaApi(self.pool, clock=Clock())
        report = self.exchange(api.report(self.address, "i", limit_ms=500), one)
        if report is not None:
            numbers = (report.running, report.waiting)
            self.assertTrue(all(0 <= number < 2**31 for number in numbers))
            versions = report.version_by_model.values()
            for number in (report.orders, report.started_ms, *versions):
                self.assertTrue(0 <= number < 2**63)
        events = api.kv_events(self.address, since=0, wait_ms=0, limit_ms=500)
        for call in (events, api.kv_list(self.address, limit_ms=500)):
            update = self.exchange(call, other)
            if update is not None:
                self.assertTrue(0 <= update.next_event < 2**63)
                for event in update.events:
                    self.assertTrue(0 <= event.tokens < 2**31)

    def test_the_usual_answers_are_sound(self):
        """Guards against a fuzz test whose sound answers are odd."""
        api = ReplicaApi(self.pool, clock=Clock())
        call = api.report(self.address, "i", limit_ms=500)
        self.assertIsNotNone(self.exchange(call, json.dumps(REPORT).encode()))
        call = api.kv_list(self.address, limit_ms=500)
        update = self.exchange(call, json.dumps(KV).encode())
        self.assertEqual(len(update.events), 1)
