"""In-memory upstreams and platform services, reached through the simulated network."""

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

from ._network import CALL_TIMEOUT_MS, LinkDown, LinkLost, MemoryLink, Network, Process
from ._stores import ObservedKv

COSTS = EngineCosts(prefill_ms_per_token=0.05, decode_ms_per_token=20.0, load_ms=1_200)
SLOW_COSTS = EngineCosts(prefill_ms_per_token=4.0, decode_ms_per_token=20.0)
URL_PREFIX = "http://"
_POLL_MS = 20
_SHUTDOWN_TIMEOUT_MS = 60_000
_KEEP_ALIVE_MS = 500
_SERVICE_WORK_MS = 40
_REPORT_LAG_MS = 5_000


def request_of(text: str) -> str:
    """Return the request name at the end of a prompt or body."""
    return text.rpartition("[")[2].rstrip("]")


class ObservedTable(MemoryTable):
    """The table service, which reports accepted bundles to the checker."""

    def __init__(self, simulation) -> None:
        super().__init__()
        self._simulation = simulation

    async def commit(self, *, expected, puts, deletes=(), era=0):
        before = self.writes
        result = await super().commit(expected=expected, puts=puts, deletes=deletes)
        if self.writes > before and HEAD_KEY in puts:
            head = msgspec.json.decode(puts[HEAD_KEY], type=Head)
            self._simulation.on_accepted(head.number, head.digest)
        return result


class Remote:
    """Client of a platform service for one process."""

    def __init__(self, simulation, process: Process, name: str, service) -> None:
        self._simulation = simulation
        self._process = process
        self._name = name
        self._service = service

    def __getattr__(self, method: str):
        async def call(*positional, **named):
            try:
                network = self._simulation.network
                connection = await network.connect(self._process, self._name)
            except LinkDown as error:
                return Unavailable(str(error))
            try:
                await connection.transfer(CALL_TIMEOUT_MS)
                result = await getattr(self._service, method)(*positional, **named)
                if self._simulation.responses_to_lose[self._name]:
                    self._simulation.responses_to_lose[self._name] -= 1
                    raise LinkLost("answer lost")
                await connection.transfer(CALL_TIMEOUT_MS)
            except LinkLost as error:
                is_write = method in ("commit", "put")
                return (Uncertain if is_write else Unavailable)(str(error))
            return result

        return call


class EngineVm:
    """An engine replica's VM; ``restart`` resets its state."""

    def __init__(self, simulation, name: str, versions: dict[str, str]) -> None:
        self.simulation = simulation
        self.name = name
        self.versions = dict(versions)
        self.reports = []
        self.reports_lag = False
        self.is_leaving = False
        self.restart()

    def restart(self) -> None:
        self.epoch = self.simulation.clock.now_ms()
        costs = SLOW_COSTS if self.simulation.store_by_name else COSTS
        self.model = EngineModel(dict(self.versions), costs, str(self.epoch))
        self.orders = EngineOrders(self.model, weights=self.simulation.weight_source)
        self.kv = ObservedKv(
            self.simulation, self.model, self.simulation.clock, self._store_of
        )

    def _store_of(self, name: str, url: str) -> "RemoteStore":
        return RemoteStore(
            self.simulation, self.simulation.network.process_by_name[self.name], name
        )

    def submit(self, call, node: str) -> Accepted | Refused:
        now_ms = self.simulation.clock.now_ms()
        result = self.model.submit(now_ms, call)
        if isinstance(result, Accepted):
            request = request_of(call.prompt)
            execution = (now_ms, self.name, request, call.run_id, result.version, node)
            self.simulation.observe(RunStarted(*execution))
            self._report_cache_use(now_ms, call, request, result)
        return result

    def _report_cache_use(self, now_ms, call, request, result) -> None:
        """Report to the checker which blocks the engine reused from its own cache."""
        account = self.simulation.account_of(request)
        for key in call.block_keys:
            self.simulation.owner_by_key.setdefault(key, (account, call.version))
        cached = result.cached_tokens // BLOCK_TOKENS
        for index, key in enumerate(call.block_keys):
            block_fields = self.name, key, self.epoch
            if index < cached:
                self.simulation.observe(
                    BlockSealed(
                        now_ms, *block_fields, *self.simulation.owner_by_key[key], ""
                    )
                )
                read = BlockRead(
                    now_ms, now_ms, *block_fields, "", request, account, call.version
                )
                self.simulation.observe(read)
            else:
                sealed = BlockSealed(now_ms, *block_fields, account, call.version, "")
                self.simulation.observe(sealed)

    def report(self):
        now_ms = self.simulation.clock.now_ms()
        report = replace(self.model.report(now_ms), leaving=self.is_leaving)
        self.reports.append((now_ms, report))
        if not self.reports_lag:
            return self.reports[-1][1]
        old_enough = [
            item for sent_ms, item in self.reports if sent_ms <= now_ms - _REPORT_LAG_MS
        ]
        return (old_enough or [self.reports[0][1]])[-1]


class FakeEngine:
    """Client of an engine with the interface of ``HttpEngine``."""

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
            await connection.transfer()
            model = self._vm.model
            result = self._vm.submit(call, self._process.name) if call else None
            run = model.run_by_id.get(run_id)
            if isinstance(result, Refused) or run is None or run.cancelled:
                await connection.transfer()
                yield result or Broken(True, "status 404")
                return
            await connection.transfer()
            yield Accepted(run.call.version, run.cached_tokens)
            async for event in self._stream(connection, model, run, offset):
                yield event
        except LinkLost as error:
            yield Broken(True, str(error))

    async def _stream(self, connection, model, run, sent_tokens):
        clock = self._network.clock
        last_sent_ms = clock.now_ms()
        while sent_tokens < run.call.max_tokens:
            if run.cancelled:
                yield Broken(True, "stream ended without its end marker")
                return
            ready_tokens = model.tokens_ready(clock.now_ms(), run)
            if ready_tokens > sent_tokens:
                await connection.transfer()
                yield Piece(
                    sent_tokens,
                    ready_tokens - sent_tokens,
                    run.answer.text(sent_tokens, ready_tokens),
                )
                sent_tokens, last_sent_ms = ready_tokens, clock.now_ms()
            elif clock.now_ms() - last_sent_ms > _KEEP_ALIVE_MS:
                await connection.transfer()
                last_sent_ms = clock.now_ms()
            await clock.sleep_ms(_POLL_MS)
        await connection.transfer()
        yield Finished(model.usage(run))

    async def _request(self, answer, failed):
        try:
            connection = await self._network.connect(self._process, self._vm.name)
            await connection.transfer(CALL_TIMEOUT_MS)
            result = answer()
            await connection.transfer(CALL_TIMEOUT_MS)
            return result
        except (LinkDown, LinkLost) as error:
            return failed(str(error))

    async def cancel(self, run_id: str) -> CancelState:
        def answer():
            return self._vm.model.cancel(self._network.clock.now_ms(), run_id)

        return await self._request(answer, lambda detail: CancelState.NO_ANSWER)

    async def load(self):
        return await self._request(
            self._vm.report, lambda detail: Broken(False, detail)
        )


class RemoteStore:
    """Client of a store for a node or an engine."""

    def __init__(self, simulation, process: Process, name: str) -> None:
        self.name = name
        self._simulation = simulation
        self._process = process

    def __getattr__(self, method: str):
        async def call(*positional, **named):
            try:
                network = self._simulation.network
                connection = await network.connect(self._process, self.name)
            except LinkDown as error:
                return StoreUnavailable(str(error), False)
            try:
                await connection.transfer(CALL_TIMEOUT_MS)
                store = MemoryStore(
                    self._simulation.store_by_name[self.name], network.clock
                )
                result = await getattr(store, method)(*positional, **named)
                await connection.transfer(CALL_TIMEOUT_MS)
            except LinkLost as error:
                return StoreUnavailable(str(error))
            return result

        return call


class RemoteEngine:
    """Client of an engine's orders or KV calls for one node."""

    def __init__(self, simulation, process: Process, name: str, part: str) -> None:
        self._simulation = simulation
        self._process = process
        self._name = name
        self._part = part

    def __getattr__(self, method: str):
        async def call(*positional):
            try:
                network = self._simulation.network
                connection = await network.connect(self._process, self._name)
            except LinkDown as error:
                return Broken(False, str(error))
            try:
                await connection.transfer(CALL_TIMEOUT_MS)
                vm = self._simulation.engine_by_name[self._name]
                engine_method = getattr(getattr(vm, self._part), method)
                if self._part == "orders":
                    result = engine_method(network.clock.now_ms(), *positional)
                else:
                    result = await engine_method(*positional)
                await connection.transfer(CALL_TIMEOUT_MS)
            except LinkLost as error:
                return Broken(True, str(error))
            return result

        return call


class FakeService:
    """Client of a plain service, which reports each executed call to the checker."""

    def __init__(
        self, network: Network, process: Process, name: str, simulation
    ) -> None:
        self._network = network
        self._process = process
        self._name = name
        self._simulation = simulation

    async def call(self, call):
        try:
            connection = await self._network.connect(self._process, self._name)
        except LinkDown as error:
            return Broken(False, str(error))
        try:
            await connection.transfer()
            if self._name in self._simulation.full:
                await connection.transfer()
                return Refused(Reason.OVERLOADED, "the service did not run it")
            clock, request = self._network.clock, request_of(call.body.decode())
            execution = (clock.now_ms(), self._name, request, call.run_id)
            self._simulation.observe(RunStarted(*execution, node=self._process.name))
            await clock.sleep_ms(_SERVICE_WORK_MS)
            await connection.transfer()
        except LinkLost as error:
            return Broken(True, str(error))
        return ServiceReply(200, b"done " + call.body, "text/plain")


class MemoryNodeIO(NodeIO):
    """Connects a simulated node to its peers, upstreams and platform services."""

    def __init__(self, simulation, process: Process, settings) -> None:
        super().__init__(settings)
        self.app = None
        self.is_listening = False
        self._simulation = simulation
        self._process = process

    def make_link(self, incarnation: int) -> MemoryLink:
        return MemoryLink(self._simulation.network, self._process, incarnation)

    async def open(self) -> None:
        """Do nothing: there is nothing to open."""

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""

    async def listen(self, app) -> int:
        self.app = app
        self.app.freeze()
        self.is_listening = True
        return 1

    async def stop_listening(self) -> None:
        """Wait for the handlers as aiohttp does, then cancel them."""
        self.is_listening = False
        clock = self._simulation.clock
        deadline_ms = clock.now_ms() + _SHUTDOWN_TIMEOUT_MS
        while (
            self._simulation.handlers_of(self._process) and clock.now_ms() < deadline_ms
        ):
            await clock.sleep_ms(_POLL_MS)
        for task in self._simulation.handlers_of(self._process):
            task.cancel()

    def _remote(self, name: str, service) -> Remote:
        return Remote(self._simulation, self._process, name, service)

    def make_table(self) -> Remote:
        return self._remote("table", self._simulation.table)

    def make_objects(self) -> Remote:
        return self._remote("objects", self._simulation.objects)

    def make_weights(self) -> Remote:
        return self._remote("weights", self._simulation.weights)

    def make_vms(self) -> Remote:
        return self._remote("vms", self._simulation.vms)

    def make_engine(self, name: str, upstream: Upstream) -> FakeEngine:
        vm = self._simulation.engine_by_name[name]
        return FakeEngine(self._simulation.network, self._process, vm)

    def make_ordered_engine(self, name: str, upstream: Upstream) -> RemoteEngine:
        return RemoteEngine(self._simulation, self._process, name, "orders")

    def make_kv_engine(self, upstream: Upstream) -> RemoteEngine:
        name = upstream.url.removeprefix(URL_PREFIX)
        return RemoteEngine(self._simulation, self._process, name, "kv")

    def make_store(self, name: str, url: str) -> RemoteStore:
        return RemoteStore(self._simulation, self._process, name)

    async def stop_accepting(self) -> None:
        self.is_listening = False

    def make_service(self, name: str, upstream: Upstream) -> FakeService:
        return FakeService(
            self._simulation.network, self._process, name, self._simulation
        )
