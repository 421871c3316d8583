"""The duty that rolls weight versions out and tells the entry which to use."""

import asyncio
import logging
from dataclasses import replace

from fireflyward.backing import Row, Table
from fireflyward.bundles import BundleHolder
from fireflyward.clock import Clock
from fireflyward.leases import LeaseTask, contenders
from fireflyward.membership import Members
from fireflyward.rollout import (
    LEASE_NAME,
    ROLLOUT_KEY,
    HealthWatch,
    Plan,
    Rollout,
    RolloutLimits,
    RolloutTask,
    ServingVersions,
    WatchedEngine,
    decode_row,
    plan_of,
)
from fireflyward.routing import Router
from fireflyward.settings import Settings
from fireflyward.steps import StepObserver
from fireflyward.upstreams import Engine, LoadReport, OrderedEngine

from ._node_io import NodeIO

log = logging.getLogger("fireflyward.rollout")

# All nodes together read the row at most this often, and each at least as often
# as lets them agree within seconds at 350 nodes.
_ROW_READS_PER_S = 100
_LEAST_POLL_MS = 1_000
_CONFIRMED_FOR_MS = 100


class OrderedEngines:
    """The replicas of the bundle in force, as a driver orders them, by name."""

    def __init__(self, io: NodeIO, holder: BundleHolder) -> None:
        self._outside = io
        self._holder = holder

    def get(self, name: str) -> OrderedEngine | None:
        """Return a replica, or None if the bundle has no such upstream."""
        bundle = self._holder.bundle
        upstream = bundle.upstreams.get(name) if bundle else None
        return self._outside.make_ordered_engine(name, upstream) if upstream else None


class RolloutDuty:
    """Contends for the driver's lease, drives while it has it, reads the shares.

    ``versions`` is what the entry asks; ``watched`` and ``as_routed`` are the two
    places at which a node lets the rollout see and steer its runs.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        members: Members,
        holder: BundleHolder,
        router: Router,
        io: NodeIO,
        observe: StepObserver,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._members = members
        self._holder = holder
        self._router = router
        self._outside = io
        self._observe = observe
        self._watch = HealthWatch()
        self._plan: Plan | None = None
        self._confirmed: dict[str, frozenset[str]] = {}
        self._confirmed_until_ms = 0
        self._confirmed_at_change = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._table: Table | None = None
        self._lease: LeaseTask | None = None
        self._driver: RolloutTask | None = None
        self.versions = ServingVersions(self._confirmed_versions)

    def watched(self, engine: Engine) -> Engine:
        """Return ``engine`` with its runs counted by weight version."""
        return WatchedEngine(engine, self._watch, self._clock)

    def as_routed(self, replica: str, report: LoadReport) -> LoadReport:
        """Return a load report without the models that are about to reload."""
        loading = self.versions.loading_models(replica)
        if not loading:
            return report
        versions = {
            model: version
            for model, version in report.version_by_model.items()
            if model not in loading
        }
        return replace(report, version_by_model=versions)

    async def start(self, table: Table) -> None:
        """Read the shares once, then begin the tasks."""
        self._table = table
        self._lease = LeaseTask(
            LEASE_NAME,
            clock=self._clock,
            table=table,
            holder=self._settings["node_name"],
            contends=self._contends,
            observe=self._observe,
        )
        limits = RolloutLimits(
            loads_per_minute=self._settings["weight_loads_per_minute"],
            watch_ms=self._settings["rollout_watch_ms"],
        )
        self._driver = RolloutTask(
            Rollout(limits),
            clock=self._clock,
            table=table,
            lease=self._lease,
            engine_by_name=OrderedEngines(self._outside, self._holder),
            plan=self._current_plan,
            watch=self._watch,
            observe=self._observe,
        )
        await self._read_row()
        for run in (self._lease.run(), self._driver.run(), self._follow_row()):
            self._tasks.append(asyncio.create_task(run))

    async def hand_on(self) -> None:
        """Give the duty to another node in a planned stop."""
        if self._driver and self._lease.claim():
            await self._driver.hand_over()

    async def stop(self) -> None:
        """End the tasks; a lease that is still held lapses."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._driver:
            await self._driver.close()

    def _contends(self) -> bool:
        names = [member.name for member in self._members.all_live()]
        return self._settings["node_name"] in contenders(LEASE_NAME, names)

    def _current_plan(self) -> Plan | None:
        bundle = self._holder.bundle
        if bundle is None:
            return None
        if self._plan is None or self._plan.bundle_number != bundle.number:
            self._plan = plan_of(bundle)
        return self._plan

    async def _follow_row(self) -> None:
        while True:
            nodes = len(self._members.all_live())
            period_ms = max(_LEAST_POLL_MS, nodes * 1_000 // _ROW_READS_PER_S)
            await self._clock.sleep_ms(period_ms)
            await self._read_row()

    async def _read_row(self) -> None:
        row = await self._table.get(ROLLOUT_KEY)
        if isinstance(row, Row):
            self.versions.update(row.version, decode_row(row.value))

    def _confirmed_versions(self, model: str) -> frozenset[str]:
        """Return the versions that replicas confirm; worked out ten times a second
        at most, since a request must not look at 1,200 replicas, and at once when
        one changed: a version that the last replica has left would be refused."""
        now_ms = self._clock.now_ms()
        changes = self._router.version_changes
        if now_ms >= self._confirmed_until_ms or changes != self._confirmed_at_change:
            self._confirmed_at_change = changes
            self._confirmed = _versions_by_model(self._router)
            self._confirmed_until_ms = now_ms + _CONFIRMED_FOR_MS
        return self._confirmed.get(model, frozenset())


def _versions_by_model(router: Router) -> dict[str, frozenset[str]]:
    found: dict[str, set[str]] = {}
    for name in router.names():
        candidate = router.candidate(name)
        if candidate is None or candidate.leaving:
            continue
        for model, version in candidate.version_by_model.items():
            found.setdefault(model, set()).add(version)
    return {model: frozenset(versions) for model, versions in found.items()}
