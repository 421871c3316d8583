"""A complete deployment in one process on a simulated clock."""

import asyncio
import hashlib
from collections import Counter

from fireflyward.bundles import (
    Account,
    Bundle,
    BundleState,
    BundleStore,
    Caller as BundleCaller,
    Model,
    Service,
    SigningKey,
    Upstream,
    digest_of,
    root_people,
    sign_bundle,
    verify_change,
    verify_snapshot,
)
from fireflyward.checker import (
    BundleAccepted,
    Checker,
    NodeLost,
    ReachabilityChanged,
    StopStarted,
)
from fireflyward.clock import ManualClock
from fireflyward.daemon import Node
from fireflyward.settings import SERVE_SETTINGS, load
from fireflyward.standins import (
    MemoryObjects,
    MemoryVms,
    MemoryWeights,
    WeightSource,
)

from ._callers import MODEL, Caller, CallerRequest
from ._fakes import URL_PREFIX, EngineVm, MemoryNodeIO, ObservedTable, Remote
from ._network import PEER_PORT, Network, Process, ProcessClock
from ._stores import ObservedStore

DOMAINS = ("norte", "sur")
ACCOUNTS = ("bridge", "tower")
_AUTHOR = SigningKey.from_seed("ana", b"a" * 32)
_APPROVER = SigningKey.from_seed("bruno", b"b" * 32)
_ROOTS = ",".join(
    f"{key.person}={key.public_bytes().hex()}" for key in (_AUTHOR, _APPROVER)
)
_ROOT_PEOPLE = root_people(
    {key.person: key.public_bytes() for key in (_AUTHOR, _APPROVER)}
)
_PLATFORM = ("table", "objects", "weights", "vms")


class Simulation:
    """Two failure domains, each with a node, an engine and a service replica."""

    def __init__(self, *, has_stores: bool = False) -> None:
        self.clock = ManualClock()
        self.store_by_name: dict[str, ObservedStore] = {}
        self.weight_source = WeightSource()
        self.network = Network(self.clock)
        self.checker = Checker()
        self.errors: list[str] = []
        self.full: set[str] = set()
        self.owner_by_key: dict[str, tuple[str, str]] = {}
        self.versions = ("v1",)
        self.table = ObservedTable(self)
        self.objects = MemoryObjects()
        self.weights = MemoryWeights({MODEL: ("v1", "v2")})
        self.vms = MemoryVms()
        self.bundle_state: BundleState | None = None
        self.offered_by_digest: dict[str, tuple] = {}
        self.engine_by_name: dict[str, EngineVm] = {}
        self.node_by_name: dict[str, Node] = {}
        self.callers: list[Caller] = []
        self.on_step = lambda step, process: None
        self.responses_to_lose: Counter[str] = Counter()
        self._next_node_index = 0
        self._handlers: dict[asyncio.Task, Process] = {}
        self._tasks: set[asyncio.Task] = set()
        for name in _PLATFORM:
            self.network.add(name, "platform")
        self.operator = self.network.add("operator", "office")
        for domain in DOMAINS if has_stores else ():
            self.network.add(f"store-{domain}", domain)
            store = ObservedStore(self, f"store-{domain}")
            self.store_by_name[store.name] = store
        for domain in DOMAINS:
            name = f"engine-{domain}"
            self.network.add(name, domain)
            self.engine_by_name[name] = EngineVm(self, name, {MODEL: "v1"})
            self.network.add(f"service-{domain}", domain)

    def observe(self, observation) -> None:
        self.checker.observe(observation)

    async def start(self) -> None:
        """Accept the first bundle and start the nodes."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_unhandled)
        await self.run_to_completion(self.accept(self.make_bundle(1)))
        for domain in DOMAINS:
            await self.run_to_completion(self.start_node(f"node-{domain}", domain))

    async def run_to_completion(self, work) -> None:
        """Run ``work`` until it is done, and advance the clock meanwhile."""
        task = self.spawn(work)
        for _ in range(1_000):
            if task.done():
                break
            await self.clock.advance_ms(20)
        task.result()

    def _on_unhandled(self, loop, context) -> None:
        """Record the exception of a task that is not awaited."""
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"a task ended by {error!r}")

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    def accepted_number(self) -> int:
        return self.bundle_state.number if self.bundle_state else 0

    def make_bundle(
        self, number: int, *, version: str = "v1", share: int = 1
    ) -> Bundle:
        upstreams = {
            f"engine-{domain}": Upstream(
                "engine", f"{URL_PREFIX}engine-{domain}", domain, (MODEL,)
            )
            for domain in DOMAINS
        }
        for domain in DOMAINS:
            upstreams[f"service-{domain}"] = Upstream(
                "service", "http://s", domain, service="drafting"
            )
        for name in self.store_by_name:
            domain = name.removeprefix("store-")
            upstreams[name] = Upstream("store", URL_PREFIX + name, domain)
        accounts = {
            name: Account(
                (MODEL,),
                {"portal": BundleCaller(_digest(f"key-{name}"), ("drafting",))},
                weight=share,
            )
            for name in ACCOUNTS
        }
        services = {"drafting": Service(("POST /revisions*",))}
        return Bundle(
            "demo", number, {MODEL: Model(version)}, accounts, upstreams, services
        )

    async def accept(self, bundle: Bundle, process: Process | None = None):
        """Accept ``bundle`` from an operator's process."""
        process = process or self.operator
        base = self.bundle_state
        signed = sign_bundle(bundle, author=_AUTHOR, approver=_APPROVER, base=base)
        self.offered_by_digest[digest_of(signed.document)] = signed, base
        store = BundleStore(
            Remote(self, process, "table", self.table),
            Remote(self, process, "objects", self.objects),
            clock=ProcessClock(self.network, process),
            observe=lambda step: self.on_step(step, process),
        )
        return await store.accept(bundle, signed, base=base)

    def on_accepted(self, number: int, digest: str) -> None:
        """Record which of the offered bundles was committed to the table."""
        signed, base = self.offered_by_digest[digest]
        if base is None:
            self.bundle_state = verify_snapshot(
                signed, (), roots=_ROOT_PEOPLE, deployment="demo"
            )
        else:
            self.bundle_state = verify_change(signed, base, deployment="demo")
        self.observe(BundleAccepted(self.clock.now_ms(), number, digest))

    async def start_node(self, name: str, domain: str) -> Node:
        process = self.network.add(name, domain)
        settings = load(SERVE_SETTINGS, _flags(name, domain), {})
        node = Node(
            settings,
            clock=ProcessClock(self.network, process),
            io=MemoryNodeIO(self, process, settings),
            observe=lambda step: self.on_step(step, process),
        )
        node.process = process
        self.node_by_name[name] = node
        starting = process.spawn(node.start())
        await asyncio.wait({starting})
        if not starting.cancelled():
            starting.result()
        process.tasks.update(node.tasks.running)
        return node

    def next_ready_node(self) -> Node | None:
        """Return the next ready node, as the platform's balancer does."""
        names = sorted(self.node_by_name)
        self._next_node_index += 1
        for index in range(len(names)):
            node = self.node_by_name[
                names[(self._next_node_index + index) % len(names)]
            ]
            process = node.process
            is_paused = process.paused_until_ms > self.clock.now_ms()
            if process.is_alive and node.io.is_listening and not is_paused:
                if node.is_ready():
                    return node
        return None

    def run_handler(self, node: Node, work) -> asyncio.Task:
        """Run a request's handler in a node's process."""
        task = node.process.spawn(work)
        self._handlers[task] = node.process
        task.add_done_callback(lambda done: self._handlers.pop(done, None))
        return task

    def handlers_of(self, process: Process) -> list[asyncio.Task]:
        return [task for task, owner in self._handlers.items() if owner is process]

    def start_caller(
        self, name: str, account: str = ACCOUNTS[0], **kind
    ) -> asyncio.Task:
        caller = Caller(self, CallerRequest(name, account, **kind))
        self.callers.append(caller)
        return self.spawn(caller.run())

    def account_of(self, request: str) -> str:
        """Return the account of the caller that sent ``request``."""
        caller_requests = (caller.caller_request for caller in self.callers)
        return next(
            (
                caller_request.account
                for caller_request in caller_requests
                if caller_request.name == request
            ),
            "",
        )

    def kill_node(self, node: Node) -> None:
        self.observe(NodeLost(self.clock.now_ms(), node.settings["node_name"]))
        node.io.is_listening = False
        node.process.crash()
        for task in node.tasks.running:
            task.cancel()

    async def restart_node(self, name: str) -> None:
        await self.start_node(name, self.node_by_name[name].settings["failure_domain"])

    def stop_node(self, name: str) -> asyncio.Task:
        node = self.node_by_name[name]
        self.observe(StopStarted(self.clock.now_ms(), name))
        return node.process.spawn(node.stop())

    def report_reachability(self) -> None:
        """Report to the checker which nodes can reach the platform now.

        A node can reach it directly or through another failure domain.
        """
        is_platform_unavailable = self.table.unavailable or self.objects.unavailable
        connected_domains = {
            domain
            for domain in DOMAINS
            if not is_platform_unavailable
            and not self.network.is_cut(domain, "platform")
        }
        for name, node in self.node_by_name.items():
            domain = node.settings["failure_domain"]
            paths = {
                other
                for other in connected_domains
                if not self.network.is_cut(domain, other)
            }
            is_paused = node.process.paused_until_ms > self.clock.now_ms()
            is_reachable = bool(paths) and not is_paused
            self.observe(ReachabilityChanged(self.clock.now_ms(), name, is_reachable))

    async def close(self) -> None:
        """Crash all processes and cancel all tasks."""
        for node in self.node_by_name.values():
            node.process.crash()
            for task in node.tasks.running:
                task.cancel()
        for task in self._tasks:
            task.cancel()
        self.operator.crash()
        await asyncio.sleep(0)
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _flags(name: str, domain: str) -> dict[str, str]:
    return {
        "node_name": name,
        "failure_domain": domain,
        "peer_keys": "11" * 32,
        "kept_key": "22" * 32,
        "trust_roots": _ROOTS,
        "trace_share": "0",
        "rollout_watch_ms": "1000",
        "kept_block_bytes": "1024",
        "port": "0",
        "peer_port": "0",
        "peers": ",".join(f"node-{domain}:{PEER_PORT}" for domain in DOMAINS),
    }


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
