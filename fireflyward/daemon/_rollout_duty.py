"""The duty that rolls out weight versions and selects them for new requests."""

import logging
from dataclasses import replace

from fireflyward.backing import Row, Table
from fireflyward.bundles import BundleHolder
from fireflyward.clock import Clock
from fireflyward.leases import LeaseTask, contenders
from fireflyward.membership import Members
from fireflyward.observe import Metrics
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
from fireflyward.supervision import BackgroundTasks
from fireflyward.upstreams import Engine, LoadReport, OrderedEngine

from ._node_io import NodeIO

log = logging.getLogger("fireflyward.rollout")

# The limit for all nodes together. With 350 nodes, each reads the row every 3.5 s, so
# all of them use the same shares within seconds.
_ROW_READS_PER_S = 100
_MIN_POLL_PERIOD_MS = 1_000
_VERSIONS_CACHE_MS = 100


class OrderedEngines:
    """Finds the clients that control the replicas of the bundle in force, by name."""

    def __init__(self, io: NodeIO, holder: BundleHolder) -> None:
        self._io = io
        self._holder = holder

    def get(self, name: str) -> OrderedEngine | None:
        """Return a replica's client, or None if the bundle has no such upstream."""
        bundle = self._holder.bundle
        upstream = bundle.upstreams.get(name) if bundle else None
        return self._io.make_ordered_engine(name, upstream) if upstream else None


class RolloutDuty:
    """Competes for the driver's lease, drives the rollout, and reads the shares.

    Only the node that holds the lease drives the rollout; every node reads the shares.
    ``versions`` selects the weight version of new requests. The rollout observes runs
    through ``count_runs``, and ``without_loading_models`` keeps requests for a model
    away from replicas that are about to reload it.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        metrics: Metrics,
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
        self._io = io
        self._observe = observe
        self._watch = HealthWatch()
        self._plan: Plan | None = None
        self._cached_versions: dict[str, frozenset[str]] = {}
        self._cache_expires_ms = 0
        self._cached_at_change = 0
        self._tasks = BackgroundTasks(clock=clock, metrics=metrics)
        self._table: Table | None = None
        self._lease: LeaseTask | None = None
        self._driver: RolloutTask | None = None
        self.versions = ServingVersions(self._confirmed_versions)

    def count_runs(self, engine: Engine) -> Engine:
        """Return a wrapper of ``engine`` that counts its runs by weight version."""
        return WatchedEngine(engine, self._watch, self._clock)

    def without_loading_models(self, replica: str, report: LoadReport) -> LoadReport:
        """Return a load report without the models that are about to be reloaded."""
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
        """Read the shares once, then start the tasks."""
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
            engine_by_name=OrderedEngines(self._io, self._holder),
            plan=self._current_plan,
            watch=self._watch,
            observe=self._observe,
        )
        await self._read_row()
        self._tasks.start("lease rollout", self._lease.run)
        self._tasks.start("rollout", self._driver.run)
        self._tasks.start("rollout row", self._follow_row)

    async def hand_over(self) -> None:
        """Hand the rollout over to another node during a planned stop."""
        if self._driver and self._lease.claim():
            await self._driver.hand_over()

    async def stop(self) -> None:
        """Stop the tasks; a lease that this node still holds expires."""
        await self._tasks.cancel()
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
            period_ms = max(_MIN_POLL_PERIOD_MS, nodes * 1_000 // _ROW_READS_PER_S)
            await self._clock.sleep_ms(period_ms)
            await self._read_row()

    async def _read_row(self) -> None:
        row = await self._table.get(ROLLOUT_KEY)
        found = decode_row(row.value) if isinstance(row, Row) else None
        if found is not None:
            self.versions.update(row.version, found)

    def _confirmed_versions(self, model: str) -> frozenset[str]:
        """Return the versions of a model that replicas report as loaded.

        The result is cached for 100 ms, because checking up to 1,200 replicas for each
        request would be too slow. It is computed again at once when a replica's
        versions change: after the last replica has left a version, requests for that
        version would be rejected.
        """
        now_ms = self._clock.now_ms()
        changes = self._router.version_changes
        if now_ms >= self._cache_expires_ms or changes != self._cached_at_change:
            self._cached_at_change = changes
            self._cached_versions = _versions_by_model(self._router)
            self._cache_expires_ms = now_ms + _VERSIONS_CACHE_MS
        return self._cached_versions.get(model, frozenset())


def _versions_by_model(router: Router) -> dict[str, frozenset[str]]:
    found: dict[str, set[str]] = {}
    for name in router.names():
        candidate = router.candidate(name)
        if candidate is None or candidate.leaving:
            continue
        for model, version in candidate.version_by_model.items():
            found.setdefault(model, set()).add(version)
    return {model: frozenset(versions) for model, versions in found.items()}
