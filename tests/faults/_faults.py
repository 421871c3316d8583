"""Defines each fault; most of them heal after some seconds, like real outages."""

from collections.abc import Callable
from dataclasses import dataclass

from fireflyward.checker import UpstreamLeaving

from ._callers import MODEL
from ._network import Process
from ._procedures import PROCEDURE_BY_NAME, STORE_PROCEDURES
from ._simulation import DOMAINS, Simulation

_HEAL_MS = 6_000
_RESTART_MS = 3_000
_PAUSE_MS = 20_000
_SLOW_MS = 300
_VERY_SLOW_MS = 600
_CLOCK_JUMP_MS = 3_600_000
_PLATFORM = ("table", "objects", "weights", "vms")

InjectFault = Callable[[Simulation, Process], Callable[[], None] | None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; ``inject`` returns a function that heals it, or None for no healing."""

    name: str
    inject: InjectFault
    heal_ms: int = _HEAL_MS


FAULT_BY_NAME: dict[str, Fault] = {}


def _register_fault(name: str, heal_ms: int = _HEAL_MS):
    def register(inject: InjectFault) -> InjectFault:
        FAULT_BY_NAME[name] = Fault(name, inject, heal_ms)
        return inject

    return register


def _busiest_engine(simulation: Simulation):
    vms = simulation.engine_by_name.values()
    return max(vms, key=lambda vm: len(vm.model._running) + len(vm.model._queue))


def _failure_domain_of(process: Process) -> str:
    return process.domain if process.domain in DOMAINS else DOMAINS[0]


@_register_fault("process dies", _RESTART_MS)
def _crash_process(simulation, process):
    node = simulation.node_by_name.get(process.name)
    if node is None or node.process is not process:
        process.crash()
        return None
    simulation.kill_node(node)
    return lambda: simulation.spawn(simulation.restart_node(process.name))


@_register_fault("engine dies", _RESTART_MS)
def _crash_engine(simulation, process):
    vm = _busiest_engine(simulation)
    crashed = simulation.network.process_by_name[vm.name]
    crashed.crash()

    def heal():
        vm.restart()
        simulation.network.add(vm.name, crashed.domain)

    return heal


@_register_fault("service dies", _RESTART_MS)
def _crash_service(simulation, process):
    crashed = simulation.network.process_by_name[f"service-{DOMAINS[0]}"]
    crashed.crash()
    return lambda: simulation.network.add(crashed.name, crashed.domain)


@_register_fault("service full")
def _service_full(simulation, process):
    simulation.full.add(f"service-{DOMAINS[0]}")
    return simulation.full.clear


def _slow(*prefixes: str, by_ms: int) -> InjectFault:
    def inject(simulation, process):
        slow = simulation.network.slow_ms_by_name
        names = [
            name
            for name in simulation.network.process_by_name
            if name.startswith(prefixes)
        ]
        slow.update(dict.fromkeys(names, by_ms))
        return lambda: [slow.pop(name, None) for name in names]

    return inject


def _make_unavailable(name: str) -> InjectFault:
    def inject(simulation, process):
        service = getattr(simulation, name)
        service.unavailable = True
        return lambda: setattr(service, "unavailable", False)

    return inject


def _lose_answer(name: str) -> InjectFault:
    def inject(simulation, process):
        simulation.responses_to_lose[name] += 1

    return inject


def _cut(*pair_functions: Callable[[str, str], tuple[str, str] | None]) -> InjectFault:
    def inject(simulation, process):
        own_domain = _failure_domain_of(process)
        other = next(domain for domain in DOMAINS if domain != own_domain)
        pairs = {frozenset(pair(own_domain, other)) for pair in pair_functions}
        simulation.network.cut_pairs |= pairs
        return lambda: simulation.network.cut_pairs.difference_update(pairs)

    return inject


_register_fault("links slow")(_slow("engine", "service", "store", by_ms=_SLOW_MS))
_register_fault("table down")(_make_unavailable("table"))
_register_fault("table slow")(_slow("table", by_ms=_VERY_SLOW_MS))
_register_fault("table answer lost")(_lose_answer("table"))
_register_fault("object store down")(_make_unavailable("objects"))
_register_fault("object store slow")(_slow("objects", by_ms=_VERY_SLOW_MS))
_register_fault("object store answer lost")(_lose_answer("objects"))
_register_fault("weight store down")(_make_unavailable("weights"))
_register_fault("list of VMs down")(_make_unavailable("vms"))
_register_fault("link to engine cut")(
    _cut(lambda own_domain, other: (own_domain, f"engine-{own_domain}"))
)
_register_fault("domain cut from others")(
    _cut(lambda own_domain, other: (own_domain, other))
)
_register_fault("domain cut from platform")(
    _cut(lambda own_domain, other: (own_domain, "platform"))
)
_register_fault("domain cut from both")(
    _cut(
        lambda own_domain, other: (own_domain, other),
        lambda own_domain, other: (own_domain, "platform"),
    )
)


@_register_fault("connections silent")
def _connections_silent(simulation, process):
    """Every connection that is open now goes silent; new ones work."""
    now_ms = simulation.clock.now_ms()
    names = dict.fromkeys(simulation.network.process_by_name, now_ms)
    simulation.network.silent_since_ms_by_name.update(names)


@_register_fault("list of VMs lags")
def _lag_vm_list(simulation, process):
    simulation.vms.as_of_ms -= _CLOCK_JUMP_MS


@_register_fault("load reports lag")
def _lag_load_reports(simulation, process):
    vms = simulation.engine_by_name.values()
    for vm in vms:
        vm.reports_lag = True
    return lambda: [setattr(vm, "reports_lag", False) for vm in vms]


@_register_fault("holder paused past its lease", _PAUSE_MS)
def _holder_paused(simulation, process):
    process.paused_until_ms = simulation.clock.now_ms() + _PAUSE_MS
    return lambda: None


@_register_fault("engine paused")
def _engine_paused(simulation, process):
    vm = _busiest_engine(simulation)
    paused = simulation.network.process_by_name[vm.name]
    paused.paused_until_ms = simulation.clock.now_ms() + _HEAL_MS


@_register_fault("engine leaves", _RESTART_MS * 4)
def _engine_leaves(simulation, process):
    """An engine reports that it is leaving, but still accepts requests."""
    vm = _busiest_engine(simulation)
    vm.is_leaving = True
    simulation.observe(UpstreamLeaving(simulation.clock.now_ms(), vm.name))


@_register_fault("operators race")
def _operators_race(simulation, process):
    bundle_now = simulation.bundle_state.bundle
    version = bundle_now.models[MODEL].version
    number = bundle_now.number + 1
    for index, _ in enumerate(DOMAINS):
        racer = simulation.network.add(f"racer-{index}", "office")
        bundle = simulation.make_bundle(number, version=version, share=index + 2)
        simulation.spawn(simulation.accept(bundle, racer))


@_register_fault("clock jumps ahead")
def _clock_ahead(simulation, process):
    process.wall_offset_ms += _CLOCK_JUMP_MS


@_register_fault("clock jumps back")
def _clock_back(simulation, process):
    process.wall_offset_ms -= _CLOCK_JUMP_MS


@_register_fault("caller gone")
def _caller_gone(simulation, process):
    simulation.callers[0].disconnect()


@_register_fault("caller slow")
def _caller_slow(simulation, process):
    simulation.callers[0].slow_down(_SLOW_MS)


@_register_fault("caller asks twice")
def _caller_asks_twice(simulation, process):
    simulation.spawn(simulation.callers[0].send_duplicate())


def _register_store_fault(
    name: str, inject: InjectFault, heal_ms: int = _HEAL_MS
) -> None:
    """Register a fault of stores or cache events.

    It is impossible in procedures without a store.
    """
    FAULT_BY_NAME[name] = Fault(name, inject, heal_ms)
    for procedure in PROCEDURE_BY_NAME:
        if procedure not in STORE_PROCEDURES:
            IMPOSSIBLE[name, procedure] = "no store and no event is part of it"


def _crash_store(simulation, process):
    name = next(iter(simulation.store_by_name))
    crashed = simulation.network.process_by_name[name]
    crashed.crash()

    def heal():
        simulation.store_by_name[name].restart_empty(simulation.clock.now_ms())
        simulation.network.add(name, crashed.domain)

    return heal


def _store_full(simulation, process):
    faults = [store.faults for store in simulation.store_by_name.values()]
    for fault in faults:
        fault.full = True
    return lambda: [setattr(fault, "full", False) for fault in faults]


def _cache_event_fault(**switches) -> InjectFault:
    def inject(simulation, process):
        faults = [vm.model.cache.faults for vm in simulation.engine_by_name.values()]
        for fault in faults:
            for name, value in switches.items():
                setattr(fault, name, value)

    return inject


@_register_fault("engines ignore fencing")
def _engines_ignore_fencing(simulation, process):
    """Pause the lease holder too, since fencing affects only a former holder."""
    for vm in simulation.engine_by_name.values():
        vm.orders.honours_fencing = False
    return _holder_paused(simulation, process)


IMPOSSIBLE: dict[tuple[str, str], str] = {}
_register_store_fault("store dies", _crash_store, _RESTART_MS)
_register_store_fault("store full", _store_full)
_register_store_fault("cache events late", _cache_event_fault(withheld=4))
_register_store_fault("cache events doubled", _cache_event_fault(duplicated=True))
_register_store_fault("cache events missing", _cache_event_fault(drop_every=2))
