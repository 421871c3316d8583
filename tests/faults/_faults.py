"""One switch for each fault; most are healed after a while, as outages are."""

from collections.abc import Callable
from dataclasses import dataclass

from fireflyward.checker import UpstreamLeaving

from ._callers import MODEL
from ._network import Process
from ._procedures import PROCEDURE_BY_NAME, STORE_PROCEDURES
from ._simulation import DOMAINS, World

_HEAL_MS = 6_000
_RESTART_MS = 3_000
_PAUSE_MS = 20_000
_SLOW_MS = 300
_VERY_SLOW_MS = 600
_JUMP_MS = 3_600_000
_PLATFORM = ("table", "objects", "weights", "vms")

Strike = Callable[[World, Process], Callable[[], None] | None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; ``strike`` returns what heals it, if it ends by itself."""

    name: str
    strike: Strike
    heal_ms: int = _HEAL_MS


FAULT_BY_NAME: dict[str, Fault] = {}


def _fault(name: str, heal_ms: int = _HEAL_MS):
    def keep(strike: Strike) -> Strike:
        FAULT_BY_NAME[name] = Fault(name, strike, heal_ms)
        return strike

    return keep


def _busiest_engine(world: World):
    vms = world.engine_by_name.values()
    return max(vms, key=lambda vm: len(vm.model._running) + len(vm.model._queue))


def _domain_of(process: Process) -> str:
    return process.domain if process.domain in DOMAINS else DOMAINS[0]


@_fault("process dies", _RESTART_MS)
def _process_dies(world, process):
    node = world.node_by_name.get(process.name)
    if node is None or node.process is not process:
        process.die()
        return None
    world.kill_node(node)
    return lambda: world.spawn(world.restart_node(process.name))


@_fault("engine dies", _RESTART_MS)
def _engine_dies(world, process):
    vm = _busiest_engine(world)
    dead = world.network.process_by_name[vm.name]
    dead.die()

    def heal():
        vm.restart()
        world.network.add(vm.name, dead.domain)

    return heal


@_fault("service dies", _RESTART_MS)
def _service_dies(world, process):
    dead = world.network.process_by_name[f"service-{DOMAINS[0]}"]
    dead.die()
    return lambda: world.network.add(dead.name, dead.domain)


@_fault("service full")
def _service_full(world, process):
    world.full.add(f"service-{DOMAINS[0]}")
    return world.full.clear


def _slow(*prefixes: str, by_ms: int) -> Strike:
    def strike(world, process):
        slow = world.network.slow_ms_by_name
        names = [
            name for name in world.network.process_by_name if name.startswith(prefixes)
        ]
        slow.update(dict.fromkeys(names, by_ms))
        return lambda: [slow.pop(name, None) for name in names]

    return strike


def _down(name: str) -> Strike:
    def strike(world, process):
        service = getattr(world, name)
        service.away = True
        return lambda: setattr(service, "away", False)

    return strike


def _answer_lost(name: str) -> Strike:
    def strike(world, process):
        world.lost_answers[name] += 1

    return strike


def _cut(*pairs_of: Callable[[str, str], tuple[str, str] | None]) -> Strike:
    def strike(world, process):
        mine = _domain_of(process)
        other = next(domain for domain in DOMAINS if domain != mine)
        cut = {frozenset(pair(mine, other)) for pair in pairs_of}
        world.network.cut |= cut
        return lambda: world.network.cut.difference_update(cut)

    return strike


_fault("links slow")(_slow("engine", "service", "store", by_ms=_SLOW_MS))
_fault("table down")(_down("table"))
_fault("table slow")(_slow("table", by_ms=_VERY_SLOW_MS))
_fault("table answer lost")(_answer_lost("table"))
_fault("object store down")(_down("objects"))
_fault("object store slow")(_slow("objects", by_ms=_VERY_SLOW_MS))
_fault("object store answer lost")(_answer_lost("objects"))
_fault("weight store down")(_down("weights"))
_fault("list of VMs down")(_down("vms"))
_fault("link to engine cut")(_cut(lambda mine, other: (mine, f"engine-{mine}")))
_fault("domain cut from others")(_cut(lambda mine, other: (mine, other)))
_fault("domain cut from platform")(_cut(lambda mine, other: (mine, "platform")))
_fault("domain cut from both")(
    _cut(lambda mine, other: (mine, other), lambda mine, other: (mine, "platform"))
)


@_fault("connections silent")
def _connections_silent(world, process):
    """Every connection that is open now is forgotten; new ones work."""
    now_ms = world.clock.now_ms()
    names = dict.fromkeys(world.network.process_by_name, now_ms)
    world.network.silent_since_ms_by_name.update(names)


@_fault("list of VMs lags")
def _list_lags(world, process):
    world.vms.as_of_ms -= _JUMP_MS


@_fault("load reports lag")
def _reports_lag(world, process):
    vms = world.engine_by_name.values()
    for vm in vms:
        vm.reports_lag = True
    return lambda: [setattr(vm, "reports_lag", False) for vm in vms]


@_fault("holder paused past its lease", _PAUSE_MS)
def _holder_paused(world, process):
    process.paused_until_ms = world.clock.now_ms() + _PAUSE_MS
    return lambda: None


@_fault("engine paused")
def _engine_paused(world, process):
    vm = _busiest_engine(world)
    paused = world.network.process_by_name[vm.name]
    paused.paused_until_ms = world.clock.now_ms() + _HEAL_MS


@_fault("engine leaves", _RESTART_MS * 4)
def _engine_leaves(world, process):
    """An engine says that it leaves, and would still take what it is given."""
    vm = _busiest_engine(world)
    vm.is_leaving = True
    world.see(UpstreamLeaving(world.clock.now_ms(), vm.name))


@_fault("operators race")
def _operators_race(world, process):
    bundle_now = world.bundle_state.bundle
    version = bundle_now.models[MODEL].version
    number = bundle_now.number + 1
    for index, _ in enumerate(DOMAINS):
        racer = world.network.add(f"racer-{index}", "office")
        bundle = world.make_bundle(number, version=version, share=index + 2)
        world.spawn(world.accept(bundle, racer))


@_fault("clock jumps ahead")
def _clock_ahead(world, process):
    process.wall_jump_ms += _JUMP_MS


@_fault("clock jumps back")
def _clock_back(world, process):
    process.wall_jump_ms -= _JUMP_MS


@_fault("caller gone")
def _caller_gone(world, process):
    world.callers[0].leave()


@_fault("caller slow")
def _caller_slow(world, process):
    world.callers[0].slow_down(_SLOW_MS)


@_fault("caller asks twice")
def _caller_asks_twice(world, process):
    world.spawn(world.callers[0].ask_again())


def _store_fault(name: str, strike: Strike, heal_ms: int = _HEAL_MS) -> None:
    """Keep a fault of stores or cache events, impossible where there is no store."""
    FAULT_BY_NAME[name] = Fault(name, strike, heal_ms)
    for procedure in PROCEDURE_BY_NAME:
        if procedure not in STORE_PROCEDURES:
            IMPOSSIBLE[name, procedure] = "no store and no event is part of it"


def _store_dies(world, process):
    name = next(iter(world.store_by_name))
    dead = world.network.process_by_name[name]
    dead.die()

    def heal():
        world.store_by_name[name].restart_empty(world.clock.now_ms())
        world.network.add(name, dead.domain)

    return heal


def _store_full(world, process):
    faults = [store.faults for store in world.store_by_name.values()]
    for fault in faults:
        fault.full = True
    return lambda: [setattr(fault, "full", False) for fault in faults]


def _events(**switches) -> Strike:
    def strike(world, process):
        faults = [vm.model.cache.faults for vm in world.engine_by_name.values()]
        for fault in faults:
            for name, value in switches.items():
                setattr(fault, name, value)

    return strike


@_fault("engines ignore fencing")
def _engines_ignore_fencing(world, process):
    """The holder is paused too, since fencing matters to nobody else."""
    for vm in world.engine_by_name.values():
        vm.orders.honours_fencing = False
    return _holder_paused(world, process)


IMPOSSIBLE: dict[tuple[str, str], str] = {}
_store_fault("store dies", _store_dies, _RESTART_MS)
_store_fault("store full", _store_full)
_store_fault("cache events late", _events(late=4))
_store_fault("cache events doubled", _events(doubled=True))
_store_fault("cache events missing", _events(drop_every=2))
