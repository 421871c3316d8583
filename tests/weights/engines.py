"""Engines that load weights by the published rules, and nodes that order them.

Time is that of a manual clock. Orders can be lost and carried out late, replicas can
restart, and nodes stop or stand still.
"""

import asyncio
from dataclasses import dataclass

from fireflyward.clock import Clock, ManualClock, Standstills
from fireflyward.deployment import WeightTarget
from fireflyward.forwarding import WeightVersions
from fireflyward.leases import LeaseTask
from fireflyward.platform import OrderResult, ReplicaReport
from fireflyward.replicas import ReplicaDirectory
from fireflyward.standins import MemoryTable
from fireflyward.weights import LoadAnnouncer, WeightTask
from tests.replicas.makers import entry

LEASE_MS = 3_000
SLACK_MS = 300
VERSION_MS = 12_000
MODEL = "m"
# Loads are slower while more than two replicas load; by how much is not published.
_LOAD_MS = 1_300
_SHARED_LOAD_MS = 2_000
_LOADS_AT_FULL_SPEED = 2
_REPORT_AGE_MS = 200
_CALL_MS = 4
_LIST_PERIOD_MS = 500
_READING_MS = 40


@dataclass(frozen=True, slots=True)
class LostOrder:
    """An order without response; ``late_ms`` is None if it is never carried out."""

    late_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order that went out to an engine, also if it was lost."""

    at_ms: int
    node: str
    fencing: int
    version: int


@dataclass(frozen=True, slots=True)
class _Report:
    at_ms: int
    report: ReplicaReport


class Engine:
    """One replica, which keeps its name when it restarts."""

    def __init__(self, fleet, name):
        self.name = name
        self.version = 1
        self.versions_loaded = []
        self.started_ms = 1
        self.is_reachable = True
        self.lost_orders = []
        self.received = []
        self._fleet = fleet
        self._orders = 0
        self._loading = None
        self._reports = []
        self._record()

    @property
    def is_loading(self):
        return self._loading is not None

    def restart(self):
        """Lose the count of orders and a load in progress, and keep the weights."""
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None
        self._orders = 0
        self.started_ms += 1
        self._record()

    def report(self):
        """Return the report of some time ago."""
        as_of_ms = self._fleet.clock.now_ms() - _REPORT_AGE_MS
        known = [item for item in self._reports if item.at_ms <= as_of_ms]
        return (known or self._reports)[-1].report

    def entry(self):
        return entry(self.name, version=self.version, started_ms=self.started_ms)

    def carry_out(self, version, orders_seen):
        """Carry out an order when it arrives; return the status of the response."""
        if self.is_loading or orders_seen != self._orders:
            return 409
        if version == self.version:
            return 200
        self._orders += 1
        self._loading = asyncio.ensure_future(self._load(version))
        self._record()
        return 202

    async def _load(self, version):
        loading = self._fleet.loading_count() + 1
        is_fast = loading <= _LOADS_AT_FULL_SPEED
        await self._fleet.clock.sleep_ms(_LOAD_MS if is_fast else _SHARED_LOAD_MS)
        self.version = version
        self.versions_loaded.append(version)
        self._loading = None
        self._record()

    def _record(self):
        report = ReplicaReport(
            self.is_loading, self._orders, 0, 0, {MODEL: self.version}, self.started_ms
        )
        self._reports.append(_Report(self._fleet.clock.now_ms(), report))


class NodeClock(Clock):
    """The fleet's clock at one node: while the node stands still, no timer ends."""

    def __init__(self, clock):
        self._clock = clock
        self.frozen_until_ms = 0

    def now_ms(self):
        return self._clock.now_ms()

    async def sleep_ms(self, duration_ms):
        await self._clock.sleep_ms(duration_ms)
        while self.now_ms() < self.frozen_until_ms:
            await self._clock.sleep_ms(self.frozen_until_ms - self.now_ms())


class NodeApi:
    """One node's calls to the engines; records when orders went out."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node

    async def report(self, address, incarnation, *, limit_ms):
        engine = self._fleet.engine_by_name[incarnation]
        if not engine.is_reachable:
            await self._node.clock.sleep_ms(limit_ms)
            return None
        report = engine.report()
        await self._node.clock.sleep_ms(_CALL_MS)
        return report

    async def order_weights(
        self, address, incarnation, *, version, fencing, orders_seen, limit_ms, **other
    ):
        fleet = self._fleet
        engine = fleet.engine_by_name[incarnation]
        engine.received.append(
            ReceivedOrder(fleet.clock.now_ms(), self._node.name, fencing, version)
        )
        lost = engine.lost_orders.pop(0) if engine.lost_orders else None
        if lost is not None:
            if lost.late_ms is not None:
                fleet.start(
                    self._carry_out_late(engine, version, orders_seen, lost.late_ms)
                )
            await self._node.clock.sleep_ms(limit_ms)
            return OrderResult(False, False, "no response")
        status = engine.carry_out(version, orders_seen)
        await self._node.clock.sleep_ms(_CALL_MS)
        return OrderResult(status in (200, 202), True, str(status))

    async def _carry_out_late(self, engine, version, orders_seen, late_ms):
        await self._fleet.clock.sleep_ms(late_ms)
        engine.carry_out(version, orders_seen)


class Node:
    """A node that contends for the lease and orders while it holds it."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        self.clock = NodeClock(fleet.clock)
        self.directory = ReplicaDirectory()
        self.weights = WeightVersions(version_ms=VERSION_MS)
        self.standstills = Standstills(clock=self.clock)
        self.heard_ms_by_version = {}
        self.lease = LeaseTask(
            "weights",
            clock=self.clock,
            table=fleet.table,
            holder=name,
            lease_ms=LEASE_MS,
            on_change=lambda change: self.task.on_change(change),
            poll_interval_ms=lambda: self.task.lease_poll_ms(),
        )
        self.task = WeightTask(
            clock=self.clock,
            lease=self.lease,
            api=NodeApi(fleet, self),
            directory=self.directory,
            weights=self.weights,
            announcer=LoadAnnouncer(
                clock=self.clock, directory=self.directory, peer_addresses=lambda: []
            ),
            busy_ms=lambda now_ms, state: 0.0,
            node=name,
            lease_ms=LEASE_MS,
            slack_ms=SLACK_MS,
            standstills=self.standstills,
        )
        self.tasks = [
            fleet.start(self.lease.run()),
            fleet.start(self.task.run()),
            fleet.start(self.standstills.run()),
        ]

    @property
    def is_frozen(self):
        return self.clock.now_ms() < self.clock.frozen_until_ms

    @property
    def is_alive(self):
        return not self.tasks[0].done()

    def kill(self):
        for task in (*self.tasks, *self.task._loads):
            task.cancel()

    def freeze_ms(self, duration_ms):
        """Stand still, and read soon afterwards what arrived meanwhile."""
        self.clock.frozen_until_ms = self.clock.now_ms() + duration_ms
        self._fleet.start(self._read_backlog(duration_ms + _READING_MS))

    async def _read_backlog(self, after_ms):
        await self._fleet.clock.sleep_ms(after_ms)
        self._fleet.tell(self)


class Fleet:
    """Engines, nodes, the table with the lease, and the list of replicas."""

    def __init__(self, *, engines, nodes=3):
        self.clock = ManualClock(100_000)
        self.table = MemoryTable()
        self.targets = {MODEL: 1}
        self._tasks = []
        self.engine_by_name = {f"r{n}": Engine(self, f"r{n}") for n in range(engines)}
        self.engines = list(self.engine_by_name.values())
        self.nodes = [Node(self, f"entry-{n}") for n in range(nodes)]
        self.start(self._list())

    def start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def stop(self):
        """End all tasks, so that none is left when the event loop closes."""
        for node in self.nodes:
            node.kill()
        for task in self._tasks:
            task.cancel()

    def loading_count(self):
        return sum(engine.is_loading for engine in self.engines)

    def outdated(self):
        return [
            engine for engine in self.engines if engine.version != self.targets[MODEL]
        ]

    def alive(self):
        return [node for node in self.nodes if node.is_alive]

    def holder(self):
        held = [node for node in self.nodes if node.lease.claim() is not None]
        return next((node for node in held if node.is_alive), None)

    def name_version(self, version):
        """Name a version; nodes that run hear of it at once, others when they do."""
        self.targets[MODEL] = version
        self._tell_all()

    async def run_until_loaded(self, limit_ms, step_ms=100, may_be_outdated=0):
        """Return after how long enough engines had the target, None if not in time."""
        started_ms = self.clock.now_ms()
        while self.clock.now_ms() - started_ms < limit_ms:
            await self.clock.advance_ms(step_ms)
            if len(self.outdated()) <= may_be_outdated:
                return self.clock.now_ms() - started_ms
        return None

    async def _list(self):
        while True:
            self._tell_all()
            await self.clock.sleep_ms(_LIST_PERIOD_MS)

    def _tell_all(self):
        for node in self.nodes:
            self.tell(node)

    def tell(self, node):
        """Tell a node that runs of all replicas and versions."""
        if node.is_frozen or not node.is_alive:
            return
        now_ms = self.clock.now_ms()
        node.directory.on_full_read(now_ms, [engine.entry() for engine in self.engines])
        for model, version in self.targets.items():
            if node.weights.set_target(now_ms, WeightTarget(model, version)):
                node.heard_ms_by_version[version] = now_ms
        node.weights.confirm(now_ms)
