"""Upstreams and the platform at their interfaces, behind the network in memory."""

from dataclasses import replace

import msgspec

from fireflyward.backing import Unavailable, Uncertain
from fireflyward.bundles import Upstream
from fireflyward.bundles._store import HEAD_KEY, Head
from fireflyward.checker import BlockRead, BlockSealed, RunStarted
from fireflyward.daemon import NodeIO
from fireflyward.kept import StoreUnavailable
from fireflyward.outcomes import Reason
from fireflyward.standins import (
    EngineCosts,
    EngineModel,
    EngineOrders,
    MemoryStore,
    MemoryTable,
)
from fireflyward.upstreams import (
    BLOCK_TOKENS,
    Accepted,
    Broken,
    CancelState,
    Finished,
    Piece,
    Refused,
    ServiceReply,
)

from ._network import CALL_LIMIT_MS, LinkDown, LinkLost, MemoryLink, Network, Process
from ._stores import WatchedKv

COSTS = EngineCosts(prefill_ms_per_token=0.05, decode_ms_per_token=20.0, load_ms=1_200)
SLOW_COSTS = EngineCosts(prefill_ms_per_token=4.0, decode_ms_per_token=20.0)
URL_PREFIX = "http://"
_POLL_MS = 20
_LIBRARY_WAIT_MS = 60_000
_KEEP_ALIVE_MS = 500
_SERVICE_WORK_MS = 40
_REPORT_LAG_MS = 5_000


def request_of(text: str) -> str:
    """Return the name that a caller wrote at the end of its prompt or body."""
    return text.rpartition("[")[2].rstrip("]")


class WatchedTable(MemoryTable):
    """The table service; it tells the checker of accepted bundles."""

    def __init__(self, world) -> None:
        super().__init__()
        self._world = world

    async def commit(self, *, expected, puts, deletes=(), era=0):
        before = self.writes
        result = await super().commit(expected=expected, puts=puts, deletes=deletes)
        if self.writes > before and HEAD_KEY in puts:
            head = msgspec.json.decode(puts[HEAD_KEY], type=Head)
            self._world.on_accepted(head.number, head.digest)
        return result


class Remote:
    """A platform service as one process reaches it."""

    def __init__(self, world, process: Process, name: str, service) -> None:
        self._world = world
        self._process = process
        self._name = name
        self._service = service

    def __getattr__(self, method: str):
        async def call(*positional, **named):
            try:
                network = self._world.network
                connection = await network.connect(self._process, self._name)
            except LinkDown as error:
                return Unavailable(str(error))
            try:
                await connection.carry(CALL_LIMIT_MS)
                result = await getattr(self._service, method)(*positional, **named)
                if self._world.lost_answers[self._name]:
                    self._world.lost_answers[self._name] -= 1
                    raise LinkLost("answer lost")
                await connection.carry(CALL_LIMIT_MS)
            except LinkLost as error:
                is_write = method in ("commit", "put")
                return (Uncertain if is_write else Unavailable)(str(error))
            return result

        return call


class EngineVm:
    """A replica's VM: what is lost when it restarts."""

    def __init__(self, world, name: str, versions: dict[str, str]) -> None:
        self.world = world
        self.name = name
        self.versions = dict(versions)
        self.reports = []
        self.reports_lag = False
        self.is_leaving = False
        self.restart()

    def restart(self) -> None:
        self.epoch = self.world.clock.now_ms()
        costs = SLOW_COSTS if self.world.store_by_name else COSTS
        self.model = EngineModel(dict(self.versions), costs, str(self.epoch))
        self.orders = EngineOrders(self.model, weights=self.world.weight_source)
        self.kv = WatchedKv(self.world, self.model, self.world.clock, self._store_of)

    def _store_of(self, name: str, url: str) -> "RemoteStore":
        return RemoteStore(
            self.world, self.world.network.process_by_name[self.name], name
        )

    def submit(self, call, node: str) -> Accepted | Refused:
        now_ms = self.world.clock.now_ms()
        result = self.model.submit(now_ms, call)
        if isinstance(result, Accepted):
            request = request_of(call.prompt)
            ran = (now_ms, self.name, request, call.run_id, result.version, node)
            self.world.observe(RunStarted(*ran))
            self._see_cache(now_ms, call, request, result)
        return result

    def _see_cache(self, now_ms, call, request, result) -> None:
        """Tell the checker which blocks of its own cache the engine used again."""
        account = self.world.account_of(request)
        for key in call.block_keys:
            self.world.owner_by_key.setdefault(key, (account, call.version))
        cached = result.cached_tokens // BLOCK_TOKENS
        for index, key in enumerate(call.block_keys):
            place = self.name, key, self.epoch
            if index < cached:
                self.world.observe(
                    BlockSealed(now_ms, *place, *self.world.owner_by_key[key], "")
                )
                read = BlockRead(
                    now_ms, now_ms, *place, "", request, account, call.version
                )
                self.world.observe(read)
            else:
                sealed = BlockSealed(now_ms, *place, account, call.version, "")
                self.world.observe(sealed)

    def report(self):
        now_ms = self.world.clock.now_ms()
        report = replace(self.model.report(now_ms), leaving=self.is_leaving)
        self.reports.append((now_ms, report))
        if not self.reports_lag:
            return self.reports[-1][1]
        lagging = [item for at, item in self.reports if at <= now_ms - _REPORT_LAG_MS]
        return (lagging or [self.reports[0][1]])[-1]


class FakeEngine:
    """An engine's client, as ``HttpEngine`` behaves towards a node."""

    def __init__(self, network: Network, process: Process, vm: EngineVm) -> None:
        self._network = network
        self._process = process
        self._vm = vm

    async def generate(self, call):
        async for event in self._events(call.run_id, 0, call):
            yield event

    async def resume(self, run_id: str, offset: int):
        async for event in self._events(run_id, offset, None):
            yield event

    async def _events(self, run_id, offset, call):
        try:
            connection = await self._network.connect(self._process, self._vm.name)
        except LinkDown as error:
            yield Broken(False, str(error))
            return
        try:
            await connection.carry()
            model = self._vm.model
            result = self._vm.submit(call, self._process.name) if call else None
            run = model.run_by_id.get(run_id)
            if isinstance(result, Refused) or run is None or run.cancelled:
                await connection.carry()
                yield result or Broken(True, "status 404")
                return
            await connection.carry()
            yield Accepted(run.call.version, run.cached_tokens)
            async for event in self._stream(connection, model, run, offset):
                yield event
        except LinkLost as error:
            yield Broken(True, str(error))

    async def _stream(self, connection, model, run, sent):
        clock = self._network.clock
        quiet_ms = clock.now_ms()
        while sent < run.call.max_tokens:
            if run.cancelled:
                yield Broken(True, "stream ended without its end marker")
                return
            ready = model.tokens_ready(clock.now_ms(), run)
            if ready > sent:
                await connection.carry()
                yield Piece(sent, ready - sent, run.answer.text(sent, ready))
                sent, quiet_ms = ready, clock.now_ms()
            elif clock.now_ms() - quiet_ms > _KEEP_ALIVE_MS:
                await connection.carry()
                quiet_ms = clock.now_ms()
            await clock.sleep_ms(_POLL_MS)
        await connection.carry()
        yield Finished(model.usage(run))

    async def _ask(self, answer, failed):
        try:
            connection = await self._network.connect(self._process, self._vm.name)
            await connection.carry(CALL_LIMIT_MS)
            result = answer()
            await connection.carry(CALL_LIMIT_MS)
            return result
        except (LinkDown, LinkLost) as error:
            return failed(str(error))

    async def cancel(self, run_id: str) -> CancelState:
        def answer():
            return self._vm.model.cancel(self._network.clock.now_ms(), run_id)

        return await self._ask(answer, lambda detail: CancelState.NO_ANSWER)

    async def load(self):
        return await self._ask(self._vm.report, lambda detail: Broken(False, detail))


class RemoteStore:
    """A store as a node or an engine reaches it."""

    def __init__(self, world, process: Process, name: str) -> None:
        self.name = name
        self._world = world
        self._process = process

    def __getattr__(self, method: str):
        async def call(*positional, **named):
            try:
                network = self._world.network
                connection = await network.connect(self._process, self.name)
            except LinkDown as error:
                return StoreUnavailable(str(error), False)
            try:
                await connection.carry(CALL_LIMIT_MS)
                store = MemoryStore(self._world.store_by_name[self.name], network.clock)
                result = await getattr(store, method)(*positional, **named)
                await connection.carry(CALL_LIMIT_MS)
            except LinkLost as error:
                return StoreUnavailable(str(error))
            return result

        return call


class RemoteEngine:
    """The orders or the KV calls of an engine as one node reaches them."""

    def __init__(self, world, process: Process, name: str, part: str) -> None:
        self._world = world
        self._process = process
        self._name = name
        self._part = part

    def __getattr__(self, method: str):
        async def call(*positional):
            try:
                network = self._world.network
                connection = await network.connect(self._process, self._name)
            except LinkDown as error:
                return Broken(False, str(error))
            try:
                await connection.carry(CALL_LIMIT_MS)
                vm = self._world.engine_by_name[self._name]
                act = getattr(getattr(vm, self._part), method)
                if self._part == "orders":
                    result = act(network.clock.now_ms(), *positional)
                else:
                    result = await act(*positional)
                await connection.carry(CALL_LIMIT_MS)
            except LinkLost as error:
                return Broken(True, str(error))
            return result

        return call


class FakeService:
    """A plain service's client; the service notes each call that it runs."""

    def __init__(self, network: Network, process: Process, name: str, world) -> None:
        self._network = network
        self._process = process
        self._name = name
        self._world = world

    async def call(self, call):
        try:
            connection = await self._network.connect(self._process, self._name)
        except LinkDown as error:
            return Broken(False, str(error))
        try:
            await connection.carry()
            if self._name in self._world.full:
                await connection.carry()
                return Refused(Reason.OVERLOADED, "the service did not run it")
            clock, request = self._network.clock, request_of(call.body.decode())
            ran = (clock.now_ms(), self._name, request, call.run_id)
            self._world.observe(RunStarted(*ran, node=self._process.name))
            await clock.sleep_ms(_SERVICE_WORK_MS)
            await connection.carry()
        except LinkLost as error:
            return Broken(True, str(error))
        return ServiceReply(200, b"done " + call.body, "text/plain")


class MemoryNodeIO(NodeIO):
    """Everything through which a node in memory meets others."""

    def __init__(self, world, process: Process, settings) -> None:
        super().__init__(settings)
        self.app = None
        self.is_listening = False
        self._world = world
        self._process = process

    def make_link(self, incarnation: int) -> MemoryLink:
        return MemoryLink(self._world.network, self._process, incarnation)

    async def open(self) -> None:
        """Have nothing to open."""

    async def close(self) -> None:
        """Have nothing to close."""

    async def listen(self, app) -> int:
        self.app = app
        self.app.freeze()
        self.is_listening = True
        return 1

    async def stop_listening(self) -> None:
        """Wait for handlers as the library does, and then cut them."""
        self.is_listening = False
        clock = self._world.clock
        limit_ms = clock.now_ms() + _LIBRARY_WAIT_MS
        while self._world.handlers_of(self._process) and clock.now_ms() < limit_ms:
            await clock.sleep_ms(_POLL_MS)
        for task in self._world.handlers_of(self._process):
            task.cancel()

    def _remote(self, name: str, service) -> Remote:
        return Remote(self._world, self._process, name, service)

    def make_table(self) -> Remote:
        return self._remote("table", self._world.table)

    def make_objects(self) -> Remote:
        return self._remote("objects", self._world.objects)

    def make_weights(self) -> Remote:
        return self._remote("weights", self._world.weights)

    def make_vms(self) -> Remote:
        return self._remote("vms", self._world.vms)

    def make_engine(self, name: str, upstream: Upstream) -> FakeEngine:
        vm = self._world.engine_by_name[name]
        return FakeEngine(self._world.network, self._process, vm)

    def make_ordered_engine(self, name: str, upstream: Upstream) -> RemoteEngine:
        return RemoteEngine(self._world, self._process, name, "orders")

    def make_kv_engine(self, upstream: Upstream) -> RemoteEngine:
        name = upstream.url.removeprefix(URL_PREFIX)
        return RemoteEngine(self._world, self._process, name, "kv")

    def make_store(self, name: str, url: str) -> RemoteStore:
        return RemoteStore(self._world, self._process, name)

    async def stop_accepting(self) -> None:
        self.is_listening = False

    def make_service(self, name: str, upstream: Upstream) -> FakeService:
        return FakeService(self._world.network, self._process, name, self._world)
