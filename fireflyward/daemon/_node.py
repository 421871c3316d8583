"""A node: the parts and duties of an entry VM, assembled."""

import asyncio
import logging
import random
from functools import partial

from fireflyward.backing import Vms
from fireflyward.bundles import Bundle, BundleHolder
from fireflyward.clock import Clock
from fireflyward.connections import SilenceLimits, within
from fireflyward.entry import EntryContext, InFlightRequests, build_app
from fireflyward.http1 import ReadMemory
from fireflyward.kept import BlockNames
from fireflyward.leaving import LeavingTask, LeavingUpstreams
from fireflyward.limits import AdmissionGate
from fireflyward.membership import Member, Membership, MembershipTask
from fireflyward.observe import Metrics, Tracing
from fireflyward.peers import new_incarnation
from fireflyward.routing import Candidate, Router
from fireflyward.runs import RunIds, RunRecords, Sweeper, finish_detached
from fireflyward.settings import Settings
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.supervision import (
    BackgroundTasks,
    listen_when_free,
    return_freed_memory,
)
from fireflyward.upstreams import Broken, Engine, PlainService

from ._admin_duty import AdminDuty
from ._bundle_duty import BundleDuty, make_bundle_duty
from ._guards import Guards
from ._kept_duty import KeptDuty
from ._lifecycle_steps import StartStep, StopStep
from ._limits_duty import LimitsDuty
from ._load_duty import LoadDuty
from ._node_io import NodeIO
from ._planned_stop import Handover, PlannedStop
from ._rollout_duty import RolloutDuty
from ._sweep_duty import run_sweeper

log = logging.getLogger("fireflyward.daemon")

_REFRESH_TIMEOUT_MS = 300
_MAX_REFRESHED_REPLICAS = 8
_DETACHED_RUNS_TIMEOUT_S = 30.0
_CERTIFICATE_CHECK_PERIOD_MS = 60_000
ENGINE = "engine"
SERVICE = "service"


class Node:
    """Owns the sockets, the periodic tasks and the parts of one entry VM."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock | None = None,
        io: NodeIO | None = None,
        observe: StepObserver = ignore_step,
    ) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.io = io or NodeIO(settings)
        self.observe = observe
        self.holder = BundleHolder()
        self.router = Router(settings["failure_domain"])
        self.admission = AdmissionGate(self.clock)
        self.metrics = Metrics()
        self.tracing = Tracing(settings["trace_share"])
        self.engine_by_name: dict[str, Engine] = {}
        self.service_by_name: dict[str, PlainService] = {}
        self._retired_ms_by_name: dict[str, int] = {}
        self.port = settings["port"]
        self.link = self.io.make_link(new_incarnation(self.clock))
        self._membership = Membership(self.clock.now_ms(), self._own_member())
        self.members = self._membership.members
        self.guards = Guards(
            settings, clock=self.clock, members=self.members, metrics=self.metrics
        )
        self.in_flight = InFlightRequests()
        self.memory = ReadMemory(max_request_bytes=settings["request_memory_bytes"])
        self.rollout = RolloutDuty(
            settings,
            clock=self.clock,
            metrics=self.metrics,
            members=self.members,
            holder=self.holder,
            router=self.router,
            io=self.io,
            observe=observe,
        )
        self.handovers: list[Handover] = [self.rollout.hand_over]
        self._planned_stop: PlannedStop | None = None
        self._stopping = False
        self.tasks = BackgroundTasks(clock=self.clock, metrics=self.metrics)
        self.loads = LoadDuty(
            link=self.link,
            clock=self.clock,
            metrics=self.metrics,
            router=self.router,
            members=self.members,
            engine_by_name=self.engine_by_name,
            without_loading_models=self.rollout.without_loading_models,
        )
        self.account_limits = LimitsDuty(
            link=self.link,
            clock=self.clock,
            metrics=self.metrics,
            members=self.members,
            gate=self.admission,
        )
        self.bundles: BundleDuty | None = None
        self.admin: AdminDuty | None = None
        self.membership: MembershipTask | None = None
        self.leaving_upstreams = LeavingUpstreams()
        self.leaving: LeavingTask | None = None
        self.records: RunRecords | None = None
        self.kept: KeptDuty | None = None

    def __repr__(self) -> str:
        return f"Node({self.settings['node_name']!r}, port={self.port})"

    async def start(self) -> None:
        """Open the sockets and start the periodic tasks."""
        return_freed_memory()
        await self.io.open()
        table = self.guards.table(self.io.make_table())
        objects = self.guards.objects(self.io.make_objects())
        self.bundles = make_bundle_duty(
            self.settings,
            link=self.link,
            clock=self.clock,
            metrics=self.metrics,
            table=table,
            objects=objects,
            members=self.members,
            apply=self.apply,
        )
        self.admin = AdminDuty(
            self.settings,
            clock=self.clock,
            bundles=self.bundles,
            table=table,
            objects=objects,
            weights=self.guards.weights(self.io.make_weights()),
        )
        self.records = RunRecords(
            table, self.clock, node_name=self.settings["node_name"]
        )
        self.kept = KeptDuty(
            self.settings,
            clock=self.clock,
            io=self.io,
            table=table,
            objects=objects,
            router=self.router,
            metrics=self.metrics,
            members=self.members,
            link=self.link,
            holder=self.holder,
            observe=self.observe,
        )
        app = build_app(self._entry_context(self.records))
        self.port = await listen_when_free(
            "callers",
            "{host}:{port}".format_map(self.settings),
            partial(self.io.listen, app),
            clock=self.clock,
        )
        self.observe(StartStep.PORT_OPEN)
        await listen_when_free(
            "peers",
            "{peer_host}:{peer_port}".format_map(self.settings),
            self.link.start,
            clock=self.clock,
        )
        vms = self.guards.vms(self.io.make_vms())
        self.membership = self._make_membership(self.bundles, vms)
        self.membership.start()
        self.leaving = LeavingTask(
            upstreams=self.leaving_upstreams,
            clock=self.clock,
            metrics=self.metrics,
            link=self.link,
            members=self.members,
            vms=vms,
            on_leaving=self.router.on_leaving,
        )
        self.leaving.start()
        self.observe(StartStep.LINK_OPEN)
        await self.bundles.start()
        await self.admin.start()
        await self.rollout.start(table)
        self.kept.start()
        self.tasks.start_periodic(
            "certificate", _CERTIFICATE_CHECK_PERIOD_MS, self._renew_certificate
        )
        sweeper = Sweeper(table, self.clock, observe=self.observe)
        self.tasks.start("sweeper", partial(run_sweeper, sweeper, self.clock))
        self.observe(StartStep.DUTIES_BEGUN)
        await self.loads.start()
        await self.account_limits.start()
        self.observe(StartStep.READY)
        log.info(
            "daemon: %s serves callers on port %d and peers on port %d",
            self.settings["node_name"],
            self.port,
            self.link.address[1],
        )

    async def stop(self) -> None:
        """Stop as planned; requests that finish within the limit are not cut."""
        self._stopping = True
        self._planned_stop = PlannedStop(
            clock=self.clock,
            in_flight=self.in_flight,
            observe=self.observe,
            balancer_wait_ms=self.settings["balancer_wait_ms"],
            limit_ms=self.settings["drain_limit_ms"],
            announce_leaving=self._announce_leaving,
            handovers=self.handovers,
            stop_accepting=self.io.stop_accepting,
        )
        await self._planned_stop.run()
        if not self._planned_stop.is_cut:
            await finish_detached(_DETACHED_RUNS_TIMEOUT_S)
        await self.close()

    def cut(self) -> None:
        """End the waiting of a planned stop; requests in flight are cancelled."""
        if self._planned_stop:
            self._planned_stop.cut()

    def _announce_leaving(self) -> None:
        if self.membership:
            self.membership.leave()

    async def close(self) -> None:
        """Close everything immediately."""
        await self.tasks.cancel()
        await self.rollout.stop()
        if self.kept:
            await self.kept.stop()
        await self.loads.stop()
        await self.account_limits.stop()
        if self.admin:
            await self.admin.stop()
        if self.bundles:
            await self.bundles.stop()
        if self.leaving:
            await self.leaving.stop()
        if self.membership:
            await self.membership.stop()
        if self.records:
            self.records.stop()
        await self.io.stop_listening()
        await self.link.stop()
        self.observe(StopStep.CLOSED)
        await self.io.close()
        self.tracing.close()

    def is_ready(self) -> bool:
        """Return whether the balancer may send new requests to this node."""
        return not self._stopping and self.holder.bundle is not None

    async def _renew_certificate(self) -> None:
        self.io.tls.renew()

    def _own_member(self) -> Member:
        return Member(
            self.settings["node_name"],
            self.link.address,
            self.settings["failure_domain"],
            self.settings["region"],
            self.link.incarnation,
        )

    def _make_membership(self, bundles: BundleDuty, vms: Vms) -> MembershipTask:
        return MembershipTask(
            self._membership,
            clock=self.clock,
            link=self.link,
            metrics=self.metrics,
            bundle_number=lambda: self.holder.number,
            on_bundle_number=bundles.on_member_number,
            seeds=self.settings["peers"],
            vms=vms,
        )

    def _entry_context(self, records: RunRecords) -> EntryContext:
        return EntryContext(
            clock=self.clock,
            holder=self.holder,
            router=self.router,
            engine_by_name=self.engine_by_name,
            service_by_name=self.service_by_name,
            admission=self.admission,
            records=records,
            block_names=BlockNames(self.settings["kept_key"]),
            metrics=self.metrics,
            tracing=self.tracing,
            request_limit_bytes=self.settings["request_limit_bytes"],
            memory=self.memory,
            deadline_ms=self.settings["request_deadline_ms"],
            is_ready=self.is_ready,
            observe=self.observe,
            catch_up=self.bundles.catch_up,
            refresh_reports=self.refresh_reports,
            prepare=self.kept.work.prepare,
            prefixes=self.kept.prefixes,
            on_hint=self.kept.work.on_hint,
            run_ids=RunIds(self.settings["kept_key"]),
            silence_limits=SilenceLimits(silence_ms=self.settings["silence_limit_ms"]),
            in_flight=self.in_flight,
            serving_versions=self.rollout.versions,
            leaving_upstreams=self.leaving_upstreams,
        )

    async def refresh_reports(self, model: str, version: str) -> None:
        """Poll a few replicas whose last load report does not contain the version.

        The number is limited: in a large deployment, every node would otherwise poll
        every replica at the same time when the last replica leaves a version.
        """
        names = [
            name
            for name in self.router.names()
            if model in self.router.candidate(name).models
            and self.router.candidate(name).version_by_model.get(model) != version
        ]
        sampled_names = random.sample(names, min(len(names), _MAX_REFRESHED_REPLICAS))
        await asyncio.gather(*(self._refresh_report(name) for name in sampled_names))

    async def _refresh_report(self, name: str) -> None:
        engine = self.engine_by_name.get(name)
        if engine is None:
            return
        try:
            report = await within(self.clock, _REFRESH_TIMEOUT_MS, engine.load())
        except TimeoutError:
            return
        if not isinstance(report, Broken):
            self.router.on_report(self.clock.now_ms(), name, report)

    def apply(self, bundle: Bundle) -> None:
        """Bring ``bundle`` into force, if it is newer than the current one."""
        if not self.holder.update(bundle):
            return
        self.rollout.versions.on_bundle(
            {name: model.version for name, model in bundle.models.items()}
        )
        self._connect_upstreams(bundle)
        log.info(
            "daemon: bundle %d in force", bundle.number, extra={"bundle": bundle.number}
        )

    def _remove_retired_upstreams(self, bundle: Bundle) -> None:
        """Remove upstreams that the bundle no longer has, after a delay.

        A run that is in flight during the change may have to be resumed or cancelled
        at its upstream. Without the client, its caller would lose the run and the
        engine would continue to compute it. So a client is kept for as long as a
        request can last.
        """
        now_ms = self.clock.now_ms()
        for name in (*self.engine_by_name, *self.service_by_name):
            if name in bundle.upstreams:
                self._retired_ms_by_name.pop(name, None)
                continue
            retired_ms = self._retired_ms_by_name.setdefault(name, now_ms)
            if now_ms - retired_ms > self.settings["request_deadline_ms"]:
                self.engine_by_name.pop(name, None)
                self.service_by_name.pop(name, None)
                del self._retired_ms_by_name[name]

    def _connect_upstreams(self, bundle: Bundle) -> None:
        self._remove_retired_upstreams(bundle)
        candidates = []
        for name, upstream in bundle.upstreams.items():
            if upstream.kind == ENGINE:
                engine = self.io.make_engine(name, upstream)
                self.engine_by_name[name] = self.rollout.count_runs(engine)
                candidates.append(
                    Candidate(name, upstream.failure_domain, upstream.models)
                )
            elif upstream.kind == SERVICE:
                self.service_by_name[name] = self.io.make_service(name, upstream)
        self.router.set_replicas(candidates)
        if self.kept:
            self.kept.apply(bundle)
        self.leaving_upstreams.set_upstreams(
            {name: upstream.url for name, upstream in bundle.upstreams.items()}
        )
        self.loads.set_bundle(bundle)
