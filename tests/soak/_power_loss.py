"""All nodes are killed at once while callers read streams, which they take up again."""

import asyncio
import tempfile
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from tests.platform_standins import (
    Operator,
    ReplicaStandIn,
    StoreBehavior,
    StoreStandIn,
)

from ._nodes import NodeProcess

_EVENTS = 12
_EVENTS_BEFORE_KILL = 3
_PAUSE_S = 0.2
_START_TIMEOUT_S = 20.0
_TRY_TIMEOUT_S = 5.0
_RESUMED_AFTER_S = (0.0, 1.5)
_SOFTWARE_ROW = ("fireflyward-nodes", "software/engines")


@dataclass
class Taken:
    """A stream over all tries of its caller."""

    first_id: str
    numbers: list = field(default_factory=list)
    versions: list = field(default_factory=list)
    statuses: list = field(default_factory=list)

    @property
    def began_at(self):
        return self.versions[0]

    @property
    def is_mixed(self):
        return len(set(self.versions)) > 1

    @property
    def went_on(self):
        return self.statuses[-1] == 200 and self.numbers == list(range(1, _EVENTS + 1))


class PowerLoss:
    """Nodes as processes, and replicas whose software versions change around a kill.

    async with PowerLoss(nodes=3) as loss:
        await loss.list_engines("v1")
        await loss.start()
        await loss.begin_streams(24)
        await loss.kill_all()
        ...
        await loss.start_again()
        await loss.resume_streams()
    """

    def __init__(self, *, nodes=3, engines=3):
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.streams = []
        self.engine_by_name = {}
        self._nodes_count = nodes
        self._engines_count = engines
        self._folder = tempfile.TemporaryDirectory()
        self._nodes = []
        self._readers = []
        self._engines = []
        self._session = None

    async def __aenter__(self):
        await self.store.start()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=_TRY_TIMEOUT_S),
        )
        return self

    async def __aexit__(self, *error):
        await self._end_reading()
        await self._session.close()
        for node in self._nodes:
            await node.kill()
        for server in [*self._engines, self.store]:
            await server.stop()
        self._folder.cleanup()

    async def list_engines(self, software):
        """Start engines of a version, and list them."""
        for number in range(self._engines_count):
            name = f"e-{software}-{number}"
            engine = ReplicaStandIn(
                name, model="m", events=_EVENTS, pause_s=_PAUSE_S, software=software
            )
            await engine.start()
            self._engines.append(engine)
            self.engine_by_name[name] = engine
            self.store.put("servers", name, engine.entry("engines"))

    def unlist_engines(self, software):
        """Remove the engines of a version from the list."""
        for name, engine in list(self.engine_by_name.items()):
            if engine.software == software:
                self.store.remove("servers", name)
                del self.engine_by_name[name]

    def restart_engines(self, software):
        """Let all engines start anew with other software, under their ids."""
        for name, engine in self.engine_by_name.items():
            for writer in list(engine._writers):
                writer.transport.abort()
            engine.restart(software=software)
            self.store.put("servers", name, engine.entry("engines"))

    async def start(self, *, until_stored=True):
        """Start all nodes, and wait until they have stored the engines' version."""
        self.operator.configure()
        zones = ("a", "b", "c")
        for number in range(self._nodes_count):
            self._nodes.append(self.make_node(number, zones[number % len(zones)]))
        await self.start_again()
        async with asyncio.timeout(_START_TIMEOUT_S):
            while until_stored and self.store.value(*_SOFTWARE_ROW) is None:
                await asyncio.sleep(0.02)

    def make_node(self, number, zone):
        return NodeProcess(
            f"entry-{number}", self._folder.name, self.store.address, zone
        )

    def remove_stored_versions(self):
        """Remove the row of the engines' versions, and that of any other service."""
        for service in ("engines", "plain"):
            self.store.remove(_SOFTWARE_ROW[0], f"software/{service}")

    async def start_again(self):
        """Start all nodes at the same moment, and wait until they are ready."""
        await asyncio.gather(*(node.start() for node in self._nodes))
        async with asyncio.timeout(_START_TIMEOUT_S):
            for node in self._nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.02)

    async def kill_all(self):
        """Kill all nodes at the same moment."""
        await asyncio.gather(*(node.kill() for node in self._nodes))
        await self._end_reading()

    async def begin_streams(self, count):
        """Begin streams at all nodes in turn, and read some events of each.

        One that is rejected or breaks off is not waited for.
        """
        first = len(self.streams)
        self.streams += [Taken(f"s-{first + number}") for number in range(count)]
        begun = [asyncio.Event() for _ in range(count)]
        for number, (stream, event) in enumerate(
            zip(self.streams[first:], begun, strict=True)
        ):
            node = self._nodes[number % len(self._nodes)]
            reading = self._read(node, stream, stream.first_id, begun=event)
            self._readers.append(asyncio.create_task(reading))
        async with asyncio.timeout(_TRY_TIMEOUT_S):
            for event in begun:
                await event.wait()

    async def resume_streams(self):
        """Take all streams up as soon as nodes are ready, and again a little later."""
        for step, after_s in enumerate(_RESUMED_AFTER_S, 1):
            await asyncio.sleep(after_s)
            await asyncio.gather(
                *(
                    self._read(
                        self._nodes[(number + step) % len(self._nodes)],
                        stream,
                        f"{stream.first_id}.{step}",
                    )
                    for number, stream in enumerate(self.streams)
                    if stream.numbers and stream.numbers[-1] < _EVENTS
                )
            )

    def silence_store(self):
        """Let the store reject all calls."""
        self.store.behavior = StoreBehavior.BUSY

    def restore_store(self):
        self.store.behavior = StoreBehavior.NORMAL

    def went_on(self):
        """Return how many streams went on, by the version at which they began."""
        return Counter(item.began_at for item in self.streams if item.went_on)

    def mixed(self):
        """Return the streams that hold events of two versions."""
        return [item for item in self.streams if item.is_mixed]

    async def _read(self, node, stream, request_id, *, begun=None):
        """Read one response until it ends, or until the node is killed."""
        headers = {
            "Host": "h.example",
            "Authorization": "Bearer key-1",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "X-Token-Usage": "900,12",
            "X-Prompt-Prefix": f"p{stream.first_id}:500,q{stream.first_id}:400",
        }
        if stream.numbers:
            headers["Last-Event-Id"] = str(stream.numbers[-1])
            headers["Resumes"] = stream.first_id
        try:
            async with self._session.post(
                node.url + "/s/x", headers=headers
            ) as response:
                stream.statuses.append(response.status)
                if response.status != 200:
                    return
                while number := await response.content.readline():
                    data = await response.content.readline()
                    await response.content.readline()
                    stream.numbers.append(int(number.removeprefix(b"id: ")))
                    stream.versions.append(data.split()[2].decode())
                    if begun and len(stream.numbers) == _EVENTS_BEFORE_KILL:
                        begun.set()
        except (aiohttp.ClientError, TimeoutError):
            stream.statuses.append(None)
        finally:
            if begun:
                begun.set()

    async def _end_reading(self):
        for reader in self._readers:
            reader.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        self._readers.clear()
