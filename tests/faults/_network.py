"""Simulated processes and the links between them.

Links can be cut, slow or silent; processes can crash or be paused.
"""

import asyncio
from dataclasses import dataclass, field

from fireflyward.clock import Clock, ManualClock
from fireflyward.peers import CallFailed, pack, unpack

DELAY_MS = 1
SILENCE_TIMEOUT_MS = 3_000
CALL_TIMEOUT_MS = 2_000
PEER_PORT = 8_481


class LinkDown(Exception):
    """The connection failed; the message did not arrive."""


class LinkLost(Exception):
    """The connection was lost; the message may have arrived."""


@dataclass(eq=False, slots=True)
class Process:
    """One process; a restart creates another one with the same name."""

    name: str
    domain: str
    is_alive: bool = True
    paused_until_ms: int = 0
    wall_offset_ms: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def crash(self) -> None:
        self.is_alive = False
        for task in list(self.tasks):
            task.cancel()


class ProcessClock(Clock):
    """The simulated clock as one process sees it; a paused process sleeps longer."""

    def __init__(self, network: "Network", process: Process) -> None:
        self._network = network
        self._process = process

    def now_ms(self) -> int:
        return self._network.clock.now_ms()

    def wall_ms(self) -> int:
        return self.now_ms() + self._process.wall_offset_ms + 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        await self._network.clock.sleep_ms(duration_ms)
        await self._network.wait_until_running(self._process)


class Network:
    """Reachability and delays between processes."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.process_by_name: dict[str, Process] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.slow_ms_by_name: dict[str, int] = {}
        self.silent_since_ms_by_name: dict[str, int] = {}
        self.links: dict[tuple[str, int], MemoryLink] = {}
        self._opened_ms: dict[tuple[Process, Process], int] = {}

    def add(self, name: str, domain: str) -> Process:
        self.process_by_name[name] = process = Process(name, domain)
        return process

    async def wait_until_running(self, process: Process) -> None:
        """Wait while a process is paused; raise CancelledError if it has crashed."""
        while process.paused_until_ms > self.clock.now_ms():
            await self.clock.sleep_ms(process.paused_until_ms - self.clock.now_ms())
        if not process.is_alive:
            raise asyncio.CancelledError

    def is_reachable(self, source: Process, target: Process) -> bool:
        endpoints = {source.name, source.domain}, {target.name, target.domain}
        is_cut = any(
            self.is_cut(one, two) for one in endpoints[0] for two in endpoints[1]
        )
        return source.is_alive and target.is_alive and not is_cut

    def is_cut(self, one: str, two: str) -> bool:
        return frozenset((one, two)) in self.cut_pairs

    async def connect(self, source: Process, target_name: str) -> "Connection":
        """Return the pooled connection, or open one if there is none."""
        await self.wait_until_running(source)
        target = self.process_by_name[target_name]
        await self.clock.sleep_ms(DELAY_MS + self.slow_ms_by_name.get(target_name, 0))
        await self.wait_until_running(source)
        if not self.is_reachable(source, target):
            raise LinkDown(f"{target_name} refuses the connection")
        endpoints = source, target
        opened_ms = self._opened_ms.setdefault(endpoints, self.clock.now_ms())
        return Connection(self, source, target, opened_ms)

    def drop_connection(self, source: Process, target: Process) -> None:
        self._opened_ms.pop((source, target), None)


@dataclass(slots=True)
class Connection:
    """One connection; ``transfer`` delivers a message to its other end."""

    network: Network
    source: Process
    target: Process
    opened_ms: int

    async def transfer(self, timeout_ms: int = SILENCE_TIMEOUT_MS) -> None:
        network, name = self.network, self.target.name
        delay_ms = DELAY_MS + network.slow_ms_by_name.get(name, 0)
        silent_since_ms = network.silent_since_ms_by_name.get(name, -1)
        if self.opened_ms <= silent_since_ms or delay_ms > timeout_ms:
            await network.clock.sleep_ms(timeout_ms)
            self._fail("silent")
        await network.clock.sleep_ms(delay_ms)
        await network.wait_until_running(self.source)
        if not network.is_reachable(self.source, self.target):
            self._fail("reset")
        paused_ms = self.target.paused_until_ms - network.clock.now_ms()
        if paused_ms > 0:
            await network.clock.sleep_ms(min(paused_ms, timeout_ms))
            if paused_ms > timeout_ms:
                self._fail("no answer")

    def _fail(self, detail: str) -> None:
        self.network.drop_connection(self.source, self.target)
        raise LinkLost(f"{self.target.name}: {detail}")


class MemoryLink:
    """The link of one node to its peers, with the interface of ``PeerLink``."""

    def __init__(self, network: Network, process: Process, incarnation: int) -> None:
        self.node_name = process.name
        self.incarnation = incarnation
        self.bytes_sent = 0
        self.bytes_received = 0
        self.address = process.name, PEER_PORT
        self._network = network
        self._process = process
        self._handler_by_kind = {}

    def register(self, kind, struct_type, handle) -> None:
        self._handler_by_kind[kind] = struct_type, handle

    async def start(self) -> None:
        self._network.links[self.address] = self

    async def stop(self) -> None:
        if self._network.links.get(self.address) is self:
            del self._network.links[self.address]

    def send(self, address, kind, message) -> bool:
        self._process.spawn(self.call(address, kind, message, type(message)))
        return True

    async def call(self, address, kind, message, reply_type, *, timeout_s=2.0):
        peer = self._network.links.get(tuple(address))
        if peer is None:
            return CallFailed("refused")
        try:
            connection = await self._network.connect(self._process, peer.node_name)
            await connection.transfer(CALL_TIMEOUT_MS)
            reply = await peer.receive(self.node_name, kind, pack(message))
            await connection.transfer(CALL_TIMEOUT_MS)
        except (LinkDown, LinkLost) as error:
            return CallFailed(str(error))
        unpacked_reply = None if reply is None else unpack(reply_type, pack(reply))
        return CallFailed("no reply") if unpacked_reply is None else unpacked_reply

    async def receive(self, sender: str, kind: str, body: bytes):
        registration = self._handler_by_kind.get(kind)
        if registration is None:
            return None
        struct_type, handle = registration
        message = unpack(struct_type, body)
        return None if message is None else await handle(sender, message)
