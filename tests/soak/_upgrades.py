"""Replicas of several software versions, crashing prompts and callers at one node."""

import asyncio
from dataclasses import dataclass, field

import aiohttp

from tests.platform_standins import ReplicaBehavior, ReplicaStandIn
from tests.platform_standins._http import reset

from ._callers import STREAM_EVENTS, Caller
from ._faults import Faults
from ._fleet import KEYS, SoakFleet

_VERSIONS = ("v1", "v2", "v10")
BAD_PART = "bad"
# A node that is disturbed is out of touch until this time after the disturbance.
_CONTACT_S = 3.0
_ALL_EVENTS = list(range(1, STREAM_EVENTS + 1))
_ALLOWED_MIXED = 2
_CRASHES = 5
_ALLOWED_LATE = 3
_MIN_STREAMS = 12
_MIN_SOUND = 20
_MIN_RELATIVE_SHARE = 0.5
_BREAKING_OFF = (
    ReplicaBehavior.TRUNCATES_STREAM,
    ReplicaBehavior.UNFRAMED,
    ReplicaBehavior.UNFRAMED_RESET,
    ReplicaBehavior.UNFRAMED_TRUNCATED,
)


class UpgradeEngine(ReplicaStandIn):
    """An engine with a software version, which prompts with ``BAD_PART`` crash."""

    def __init__(self, name, software):
        super().__init__(
            name, model="m", events=STREAM_EVENTS, pause_s=0.02, software=software
        )
        self.crashing_part = BAD_PART

    def crash(self):
        """Crash; a stream without length or chunks then does not look complete."""
        for writer in self._writers:
            if not writer.is_closing():
                reset(writer)
        super().crash()


@dataclass
class StreamTry:
    """One try of a caller; ``begun`` is set once an event arrived."""

    request_id: str
    node: str
    sent_s: float
    is_bad: bool
    is_resumed: bool = False
    begun: bool = False
    problem: str = ""


@dataclass
class Stream:
    """The events that a caller got over all its tries."""

    numbers: list = field(default_factory=list)
    versions: set = field(default_factory=set)

    def add(self, event):
        lines = event.decode().split("\n")
        self.numbers.append(int(lines[0].removeprefix("id: ")))
        self.versions.add(lines[1].split()[2])


class StreamCaller(Caller):
    """Takes half of its streams up at another node after some events."""

    def __init__(self, name, random, fleet, keys):
        super().__init__(name, random, fleet.nodes, keys, fleet.result_by_id)
        self._fleet = fleet

    async def _send_request(self, session):
        if self._random.random() < 0.3:
            await super()._send_request(session)
            return
        self._count += 1
        first_id = f"{self._name}-{self._count}"
        is_bad = self._fleet.sends_bad and self._random.random() < 0.25
        stream, last_node = Stream(), None
        for step in range(4):
            nodes = [node for node in self._nodes if node is not last_node]
            last_node = self._fleet.hot_node or self._random.choice(nodes)
            request_id = f"{first_id}.{step}" if step else first_id
            leave_after = self._random.choice((None, None, 2, 5))
            is_over = await self._try(
                session, last_node, request_id, first_id, is_bad, stream, leave_after
            )
            if is_over and stream.numbers != _ALL_EVENTS:
                self._fleet.violations.append(
                    f"{request_id} looks complete after {stream.numbers}"
                )
            if is_over or not stream.numbers:
                break
            await asyncio.sleep(self._random.choice((0.0, 0.005, 0.3)))
        self._fleet.streams.append(stream)

    async def _try(
        self, session, node, request_id, first_id, is_bad, stream, leave_after
    ):
        """Send one try; return whether the stream is complete."""
        key = self._random.choice(self._keys)
        middle = f"{BAD_PART}:200," if is_bad else ""
        session_part = self._random.randrange(9)
        headers = {
            "Host": "h.example",
            "Authorization": f"Bearer {key}",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "X-Model": "m",
            "X-Token-Usage": "900,12",
            "X-Prompt-Prefix": f"common:300,{middle}s{session_part}:200,{first_id}:9",
        }
        if stream.numbers:
            headers["Last-Event-Id"] = str(stream.numbers[-1])
            headers["Resumes"] = first_id
        now_s = asyncio.get_running_loop().time()
        sent = StreamTry(request_id, node.name, now_s, is_bad, bool(stream.numbers))
        self._fleet.tries.append(sent)
        if self._fleet.hot_node is not None:
            headers["Connection"] = "close"
        try:
            # The body is the prompt, alike in all tries and in no other request.
            async with session.post(
                node.url + "/s/x", headers=headers, data=first_id.encode()
            ) as response:
                if response.status != 200:
                    return False
                events = 0
                while event := await _read_event(response.content):
                    sent.begun = True
                    stream.add(event)
                    events += 1
                    if events == leave_after:
                        response.close()
                        return False
                return True
        except (aiohttp.ClientError, TimeoutError):
            return False


async def _read_event(content):
    """Return the next event, empty at the end; raise if the stream broke off."""
    lines = [await content.readline() for _ in range(3)]
    return b"".join(lines)


class Upgrades(Faults):
    """Replaces engines by other versions, crashes them, and crowds callers."""

    pauses_s = (0.1, 0.7)

    def __init__(self, random, fleet):
        super().__init__(random, fleet)
        self._replaced = 0

    def kinds(self):
        return (
            self._replace,
            self._replace,
            self._crash,
            self._crash,
            self._break_off,
            self._break_off,
            self._kill,
            self._planned_stop,
            self._crowd,
            self._reset_link,
        )

    async def run(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_bad())
            group.create_task(self._bring_crashed_back())
            group.create_task(super().run())

    def _engines(self):
        return [item for item in self._fleet.replicas if item.model]

    async def _replace(self):
        """Let an engine leave, and start one of another version at its address."""
        engine = self._random.choice(self._engines())
        if engine.has_crashed or engine in self._fleet.leaving:
            return
        self._fleet.leaving.append(engine)
        self._fleet.list_replica(engine, state="draining")
        await asyncio.sleep(self._random.uniform(0.5, 1.5))
        await self._start_in_place_of(engine)

    async def _crash(self):
        engine = self._random.choice(self._engines())
        engine.has_crashed = True
        engine.crash()

    async def _bring_crashed_back(self):
        """Restart engines that crashed, under new names or their own."""
        async with asyncio.TaskGroup() as group:
            while True:
                for engine in self._engines():
                    if engine.has_crashed and engine not in self._fleet.leaving:
                        self._fleet.leaving.append(engine)
                        group.create_task(self._bring_back(engine))
                await asyncio.sleep(0.02)

    async def _bring_back(self, engine):
        now_s = asyncio.get_running_loop().time()
        if engine.crashed_by_part:
            self._fleet.crash_times_s.append(now_s)
        await asyncio.sleep(self._random.uniform(0.8, 2.5))
        await self._start_in_place_of(engine)

    async def _start_in_place_of(self, engine):
        fleet = self._fleet
        self._replaced += 1
        keeps_name = self._random.random() < 0.25
        name = engine.incarnation if keeps_name else f"e-new-{self._replaced}"
        fresh = UpgradeEngine(name, self._random.choice(_VERSIONS))
        fresh.started_ms = engine.started_ms + 1_000
        await fresh.start()
        number = fleet.replicas.index(engine)
        fleet.gone.append(engine)
        fleet.replicas[number] = fresh
        fleet.replica_links[number].target = fresh.address
        fleet.zone_by_name[fresh.incarnation] = fleet.zone_by_name[engine.incarnation]
        if not keeps_name:
            fleet.store.remove("servers", engine.incarnation)
        await asyncio.sleep(self._random.choice((0.0, 0.0, 0.5)))
        fleet.list_replica(fresh)
        await asyncio.sleep(1.0)
        await engine.stop()

    async def _break_off(self):
        engine = self._random.choice(self._engines())
        engine.behaviors = [self._random.choice(_BREAKING_OFF) for _ in range(4)]

    async def _send_bad(self):
        await asyncio.sleep(self._random.uniform(2.0, 4.0))
        self._fleet.sends_bad = True

    async def _crowd(self):
        """Let all callers open new connections, and all at one node."""
        self._fleet.hot_node = self._random.choice(self._fleet.nodes)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._fleet.hot_node = None


def upgrade_violations(fleet):
    """Describe what callers and replicas saw of mixed streams and bad prompts."""
    found = []
    mixed = [item for item in fleet.streams if len(item.versions) > 1]
    if len(mixed) > _ALLOWED_MIXED:
        found.append(f"ORDER: {len(mixed)} streams of several versions: {mixed[:3]}")
    for stream in fleet.streams:
        if stream.numbers != list(range(1, len(stream.numbers) + 1)):
            found.append(f"ORDER: events {stream.numbers}")
    in_touch = [item for item in fleet.tries if not _is_excused(fleet, item)]
    resumed = [item.begun for item in in_touch if item.is_resumed and not item.is_bad]
    new = [item.begun for item in in_touch if not item.is_resumed and not item.is_bad]
    if len(resumed) >= _MIN_STREAMS and new:
        if _share(resumed) < _MIN_RELATIVE_SHARE * _share(new):
            found.append(
                f"LOST: {sum(resumed)} of {len(resumed)} resumed streams went on, "
                f"{sum(new)} of {len(new)} new ones began"
            )
    return found + _bad_part_violations(fleet, in_touch)


def _bad_part_violations(fleet, in_touch):
    if len(fleet.crash_times_s) < _CRASHES:
        return []
    fifth_s = sorted(fleet.crash_times_s)[_CRASHES - 1]
    bad = {item.request_id for item in in_touch if item.is_bad}
    late = [
        sent
        for replica in [*fleet.replicas, *fleet.gone]
        for sent in replica.executed_requests
        if sent.headers["x-request-id"] in bad and sent.arrived_s > fifth_s + _CONTACT_S
    ]
    found = []
    if len(late) > _ALLOWED_LATE:
        found.append(f"BUDGET: {len(late)} requests after {len(fleet.crash_times_s)}")
    sound = [item for item in in_touch if not item.is_bad and not item.is_resumed]
    first_s = min(fleet.crash_times_s)
    before = [item.begun for item in sound if item.sent_s < first_s]
    after = [item.begun for item in sound if item.sent_s > fifth_s + 2 * _CONTACT_S]
    if min(len(before), len(after)) >= _MIN_SOUND:
        if _share(after) < _MIN_RELATIVE_SHARE * _share(before):
            found.append(
                f"LOST: {sum(after)} of {len(after)} sound streams began, "
                f"{sum(before)} of {len(before)} before"
            )
    return found


def _is_excused(fleet, sent):
    return fleet.disturbances.excuse([sent.node], sent.sent_s)


def _share(begun):
    return sum(begun) / len(begun)


class UpgradeFleet(SoakFleet):
    """A fleet with six engines of two versions, and what its callers saw."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.streams, self.tries, self.gone, self.crash_times_s = [], [], [], []
        self.hot_node, self.sends_bad = None, False

    def initial_replicas(self):
        replicas = [ReplicaStandIn(f"p-{n}") for n in (1, 2, 3)]
        return replicas + [
            UpgradeEngine(f"e-{n}", _VERSIONS[n % 2]) for n in range(1, 7)
        ]

    def make_caller(self, number, random):
        return StreamCaller(f"c{number}", random, self, KEYS)

    def counts(self):
        counts = super().counts()
        counts["streams"] = len(self.streams)
        counts["resumed"] = sum(item.is_resumed for item in self.tries)
        counts["resumed, went on"] = sum(
            item.is_resumed and item.begun for item in self.tries
        )
        counts["mixed"] = sum(len(item.versions) > 1 for item in self.streams)
        counts["crashes by the part"] = len(self.crash_times_s)
        return counts

    def check(self):
        return super().check() + upgrade_violations(self)

    async def stop(self):
        await super().stop()
        for engine in self.gone:
            await engine.stop()
