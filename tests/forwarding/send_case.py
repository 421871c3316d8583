"""A node whose connections follow scripts, for tests of two sends of one request."""

import asyncio
from unittest.mock import MagicMock

from fireflyward.clock import ManualClock
from fireflyward.deployment import Route, RouteKind, ServiceShare
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.hedging import Hedging, SilentReplicaCost
from fireflyward.http1 import (
    BodyPart,
    Broken,
    BrokenAt,
    End,
    Head,
    NotConnected,
    ReadMemory,
)
from fireflyward.platform import CallerRequest
from fireflyward.platform._requests import _SIGNATURE
from fireflyward.prefixes import PartPlanner
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
    """Returns events at given times after the request; then it stays silent.

    Responses have a length, unless ``ends_response``.
    """

    relay = ""
    label = "port 1, 0 responses"

    ends_response = False
    skipped = 0

    def __init__(self, clock, script):
        self.clock = clock
        self.full_script = script
        self.script = list(script)
        self.is_closed = False
        self.was_sent = False
        self.must_close = False

    def send(self, method, target, headers, body, **naming):
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
        self.memory = ReadMemory()
        self.script_by_address = {}
        self.opened = []
        self.released = []
        self.addresses = []

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
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


class ScriptedGate(OpenGate):
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
        self.directory.on_full_read(0, entries)
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

    def start(
        self, kind=RouteKind.IDEMPOTENT, *, attempts=2, arrived_ms=0, timeout_ms=3_000
    ):
        route = Route(
            "r",
            "h",
            "/",
            kind,
            timeout_ms,
            200,
            0,
            attempts,
            (ServiceShare("s", 1),),
            is_resumable=kind is RouteKind.STREAM,
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
