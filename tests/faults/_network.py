"""Links between processes in memory: cut, slow, silent, dead or paused."""

import asyncio
from dataclasses import dataclass, field

from fireflyward.clock import Clock, ManualClock
from fireflyward.peers import CallFailed, pack, unpack

DELAY_MS = 1
SILENCE_LIMIT_MS = 3_000
CALL_LIMIT_MS = 2_000
PEER_PORT = 8_481


class LinkDown(Exception):
    """Nothing can have arrived."""


class LinkLost(Exception):
    """Something may have arrived."""


@dataclass(eq=False, slots=True)
class Process:
    """One process; a restart makes another of the same name."""

    name: str
    domain: str
    is_alive: bool = True
    paused_until_ms: int = 0
    wall_jump_ms: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def die(self) -> None:
        self.is_alive = False
        for task in list(self.tasks):
            task.cancel()


class ProcessClock(Clock):
    """A process's view of the world's clock; a paused process sleeps longer."""

    def __init__(self, network: "Network", process: Process) -> None:
        self._network = network
        self._process = process

    def now_ms(self) -> int:
        return self._network.clock.now_ms()

    def wall_ms(self) -> int:
        return self.now_ms() + self._process.wall_jump_ms + 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        await self._network.clock.sleep_ms(duration_ms)
        await self._network.running(self._process)


class Network:
    """Who can reach whom, and how fast."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.process_by_name: dict[str, Process] = {}
        self.cut: set[frozenset[str]] = set()
        self.slow_ms_by_name: dict[str, int] = {}
        self.silent_since_ms_by_name: dict[str, int] = {}
        self.links: dict[tuple[str, int], MemoryLink] = {}
        self._opened_ms: dict[tuple[Process, Process], int] = {}

    def add(self, name: str, domain: str) -> Process:
        self.process_by_name[name] = process = Process(name, domain)
        return process

    async def running(self, process: Process) -> None:
        """Return when a process may go on; a dead one never does."""
        while process.paused_until_ms > self.clock.now_ms():
            await self.clock.sleep_ms(process.paused_until_ms - self.clock.now_ms())
        if not process.is_alive:
            raise asyncio.CancelledError

    def is_open(self, source: Process, target: Process) -> bool:
        ends = {source.name, source.domain}, {target.name, target.domain}
        is_cut = any(self.is_cut(one, two) for one in ends[0] for two in ends[1])
        return source.is_alive and target.is_alive and not is_cut

    def is_cut(self, one: str, two: str) -> bool:
        return frozenset((one, two)) in self.cut

    async def connect(self, source: Process, target_name: str) -> "Connection":
        """Take the pooled connection if there is one, or open another."""
        await self.running(source)
        target = self.process_by_name[target_name]
        await self.clock.sleep_ms(DELAY_MS + self.slow_ms_by_name.get(target_name, 0))
        await self.running(source)
        if not self.is_open(source, target):
            raise LinkDown(f"{target_name} refuses the connection")
        ends = source, target
        opened_ms = self._opened_ms.setdefault(ends, self.clock.now_ms())
        return Connection(self, source, target, opened_ms)

    def forget(self, source: Process, target: Process) -> None:
        self._opened_ms.pop((source, target), None)


@dataclass(slots=True)
class Connection:
    """One connection; ``carry`` takes a message to its other end."""

    network: Network
    source: Process
    target: Process
    opened_ms: int

    async def carry(self, limit_ms: int = SILENCE_LIMIT_MS) -> None:
        network, name = self.network, self.target.name
        delay_ms = DELAY_MS + network.slow_ms_by_name.get(name, 0)
        silent_since_ms = network.silent_since_ms_by_name.get(name, -1)
        if self.opened_ms <= silent_since_ms or delay_ms > limit_ms:
            await network.clock.sleep_ms(limit_ms)
            self._lose("silent")
        await network.clock.sleep_ms(delay_ms)
        await network.running(self.source)
        if not network.is_open(self.source, self.target):
            self._lose("reset")
        paused_ms = self.target.paused_until_ms - network.clock.now_ms()
        if paused_ms > 0:
            await network.clock.sleep_ms(min(paused_ms, limit_ms))
            if paused_ms > limit_ms:
                self._lose("no answer")

    def _lose(self, detail: str) -> None:
        self.network.forget(self.source, self.target)
        raise LinkLost(f"{self.target.name}: {detail}")


class MemoryLink:
    """The link of one node to others, as ``PeerLink`` has it."""

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
            await connection.carry(CALL_LIMIT_MS)
            reply = await peer.receive(self.node_name, kind, pack(message))
            await connection.carry(CALL_LIMIT_MS)
        except (LinkDown, LinkLost) as error:
            return CallFailed(str(error))
        found = None if reply is None else unpack(reply_type, pack(reply))
        return CallFailed("no reply") if found is None else found

    async def receive(self, sender: str, kind: str, body: bytes):
        known = self._handler_by_kind.get(kind)
        if known is None:
            return None
        struct_type, handle = known
        message = unpack(struct_type, body)
        return None if message is None else await handle(sender, message)
