"""Imports of KV blocks before a prompt is dispatched, exports after it was served."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fireflyward.clock import Clock
from fireflyward.kept import (
    BlockNames,
    Exported,
    Exporter,
    ExportPlan,
    Imported,
    Importer,
    ImportRequest,
    ShardLookUp,
    SlotRequest,
    StoreClient,
    shard_of,
)
from fireflyward.observe import Metrics
from fireflyward.placement import (
    PIECE_BLOCKS,
    Estimate,
    Import,
    ImportWatch,
    KeepOffer,
    KeepPolicy,
    Placement,
    PlacementCosts,
    PrefixLocations,
    ServedPrompt,
    StoredRun,
    Tier,
)
from fireflyward.routing import Router, RunShape
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.upstreams import BLOCK_TOKENS, EngineCall, KvEngine

_EXPORT_DELAY_MS = 1_000
_EXPORT_BLOCKS = 8
_YIELD_POLL_MS = 5
_MAX_YIELD_MS = 2_000
_MAX_PENDING_EXPORTS = 256
_MAX_HINTS = 4_096


class IndexedPrefixes:
    """Finds the cached and stored blocks of a prompt, for placement.

    For replicas whose cache events this node follows, it uses the index, which takes
    evictions into account. For the other replicas it uses this node's own record of
    dispatched prompts, which contains no evictions.
    """

    __slots__ = ("_cached", "_look_up", "_router", "followed", "store_names")

    def __init__(self, look_up: ShardLookUp, router: Router) -> None:
        self._look_up = look_up
        self._router = router
        self.store_names: frozenset[str] = frozenset()
        self.followed: frozenset[str] = frozenset()
        self._cached: tuple[float, RunShape, PrefixLocations] | None = None

    def locate(self, now_ms: float, shape: RunShape) -> PrefixLocations:
        """Return the blocks of a prompt that the replicas and the stores have.

        Routing calls this once for each replica while it chooses one. The result is
        computed at the first call and cached for the others.
        """
        if self._cached and self._cached[0] == now_ms and self._cached[1] is shape:
            return self._cached[2]
        locations = self._find(shape)
        self._cached = now_ms, shape, locations
        return locations

    async def look_up(self, shape: RunShape) -> None:
        """Query a holder of the prompt's index shard, unless this node is one."""
        await self._look_up.fetch(shape.block_keys)
        self._cached = None

    def _find(self, shape: RunShape) -> PrefixLocations:
        tokens_by_replica = self._router.affinity.record.cached_tokens(shape.block_keys)
        blocks_by_replica = {
            name: tokens // BLOCK_TOKENS
            for name, tokens in tokens_by_replica.items()
            if name not in self.followed
        }
        stored = []
        for run in self._look_up.find(shape.block_keys):
            if run.holder in self.store_names:
                stored.append(StoredRun(run.holder, run.first, run.blocks))
            elif run.first == 0:
                blocks_by_replica[run.holder] = run.blocks
        return PrefixLocations(blocks_by_replica, tuple(stored))

    def run_start(self, shape: RunShape, plan: Import) -> int:
        """Return the first block of the stored run that contains the plan's blocks."""
        for run in self._look_up.find(shape.block_keys):
            if run.holder == plan.store and run.first <= plan.first:
                if plan.first < run.first + run.blocks:
                    return run.first
        return plan.first


@dataclass(frozen=True, slots=True)
class PromptHint:
    """A caller's hint that it will send a prompt again: a named prefix or a session."""

    prefix_blocks: int = 0
    has_session: bool = False


@dataclass(frozen=True, slots=True)
class _Served:
    """A prompt that was dispatched to a replica and may be exported from it."""

    at_ms: int
    replica: str
    shape: RunShape
    hint: PromptHint


class KeptWork:
    """Performs the imports and exports of one node.

    The time limit of an import comes from the estimated time to compute its blocks. So
    a slow, crashed or full store delays an answer by at most a small share of that
    time. An export waits for one second, so that its prompt is computed first. Before
    each of its parts it also waits, for at most two seconds, while an import is in
    flight. When too many exports are pending, the oldest are dropped, because an export
    only saves later computation.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        metrics: Metrics,
        names: BlockNames,
        look_up: ShardLookUp,
        kv_by_replica: Mapping[str, KvEngine],
        store_by_name: Mapping[str, StoreClient],
        url_by_store: dict[str, str],
        is_served: Callable[[str, str], bool],
        block_bytes: int,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._clock = clock
        self._router = router
        self._metrics = metrics
        self._names = names
        self._kv_by_replica = kv_by_replica
        self._store_by_name = store_by_name
        self._block_bytes = block_bytes
        self.prefixes = IndexedPrefixes(look_up, router)
        self.placement = Placement(PlacementCosts(block_bytes), self.prefixes)
        self._keep = KeepPolicy()
        self._importer = Importer(clock, url_by_store, is_served, observe=observe)
        self._exporter = Exporter(url_by_store, observe=observe)
        self._served_by_run: OrderedDict[str, _Served] = OrderedDict()
        self._imports_in_flight = 0
        self._hint_by_run: OrderedDict[str, PromptHint] = OrderedDict()

    def on_hint(self, run_id: str, prefix_blocks: int, has_session: bool) -> None:
        """Record a caller's hint for a prompt, before ``prepare`` is called for it."""
        if not prefix_blocks and not has_session:
            return
        self._hint_by_run[run_id] = PromptHint(prefix_blocks, has_session)
        while len(self._hint_by_run) > _MAX_HINTS:
            self._hint_by_run.popitem(last=False)

    async def prepare(self, replica: str, call: EngineCall, shape: RunShape) -> None:
        """Import the blocks that placement plans for this replica, in bounded time."""
        if self._store_by_name:
            await self.prefixes.look_up(shape)
        now_ms = self._clock.now_ms()
        candidate = self._router.candidate(replica)
        if candidate is not None and self._store_by_name:
            estimate = self.placement.estimate(now_ms, candidate, shape)
            if isinstance(estimate.plan, Import):
                await self._import(replica, call, shape, estimate)
        if self._store_by_name:
            self._record_served(now_ms, replica, shape)

    def _record_served(self, now_ms: int, replica: str, shape: RunShape) -> None:
        """Record a prompt; a later attempt of the same run replaces an earlier one.

        If both attempts counted, a prompt that was only retried would be considered a
        prompt that returned later, and would be exported for that reason.
        """
        pending = self._served_by_run
        earlier = pending.get(shape.run_id)
        default = earlier.hint if earlier else PromptHint()
        hint = self._hint_by_run.pop(shape.run_id, default)
        pending[shape.run_id] = _Served(now_ms, replica, shape, hint)
        pending.move_to_end(shape.run_id)
        while len(pending) > _MAX_PENDING_EXPORTS:
            pending.popitem(last=False)

    async def export_due(self) -> None:
        """Export the prompts whose export delay is over."""
        pending = self._served_by_run
        while pending and not self._imports_in_flight:
            oldest = next(iter(pending.values()))
            if self._clock.now_ms() - oldest.at_ms < _EXPORT_DELAY_MS:
                return
            del pending[oldest.shape.run_id]
            await self._export_prompt(oldest)

    async def _import(
        self, replica: str, call: EngineCall, shape: RunShape, estimate: Estimate
    ) -> None:
        plan = estimate.plan
        store = self._store_by_name.get(plan.store)
        engine = self._kv_by_replica.get(replica)
        if store is None or engine is None:
            return
        # The replica may have evicted blocks that it was assumed to have, and blocks
        # are of no use without those before them. So the request covers the stored
        # run from its first block. The engine reads only the blocks that it lacks.
        first = self.prefixes.run_start(shape, plan)
        keys = shape.block_keys[first : plan.first + plan.blocks]
        import_request = ImportRequest(
            call.run_id,
            call.model,
            call.version,
            keys,
            shape.block_keys[0],
            plan.block_ms,
        )
        started_ms = self._clock.now_ms()
        watch = ImportWatch(started_ms, plan, queue_ms=estimate.queue_ms)
        links, size = self.placement.links, plan.blocks * self._block_bytes
        links.on_start(plan.store, size)
        self._imports_in_flight += 1
        try:
            result = await self._importer.load(import_request, engine, store, watch)
        finally:
            self._imports_in_flight -= 1
            links.on_end(plan.store, size)
        self._record_import(plan.store, result, self._clock.now_ms() - started_ms)

    def _record_import(self, store: str, result: Imported, took_ms: float) -> None:
        now_ms, links = self._clock.now_ms(), self.placement.links
        if result.blocks:
            size = result.blocks * self._block_bytes
            links.on_measured(now_ms, store, Tier.MEMORY, size, took_ms)
            self._metrics.count(
                "kept_link_bytes_total", size, store=store, direction="import"
            )
        else:
            links.on_no_data(now_ms, store)
        self._metrics.count("kept_imported_blocks_total", result.blocks, store=store)
        if result.reason:
            self._metrics.count("kept_misses_total", reason=result.reason.value)

    async def _export_prompt(self, served: _Served) -> None:
        shape = served.shape
        locations = self.prefixes.locate(self._clock.now_ms(), shape)
        stored_blocks = max(
            (run.end for run in locations.stored if not run.first), default=0
        )
        served_prompt = ServedPrompt(
            shape.account,
            shape.block_keys,
            has_session=served.hint.has_session,
            hinted_blocks=served.hint.prefix_blocks,
            kept_blocks=stored_blocks,
        )
        offers = self._keep.on_prompt(self._clock.now_ms(), served_prompt)
        engine = self._kv_by_replica.get(served.replica)
        if engine is None or not self._store_by_name:
            return
        for first, blocks in _join_consecutive(offers):
            for store in self._stores_for(shape, offers):
                await self._export(engine, store, shape, first, blocks)

    async def _export(
        self,
        engine: KvEngine,
        store: StoreClient,
        shape: RunShape,
        first: int,
        blocks: int,
    ) -> None:
        """Export in small parts, so that a new import waits for one part at most."""
        end = first + blocks
        for start in range(first, end, _EXPORT_BLOCKS):
            await self._yield_to_imports()
            positions = range(start, min(end, start + _EXPORT_BLOCKS))
            if not await self._export_part(engine, store, shape, positions):
                return

    async def _yield_to_imports(self) -> None:
        deadline_ms = self._clock.now_ms() + _MAX_YIELD_MS
        while self._imports_in_flight and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(_YIELD_POLL_MS)

    async def _export_part(
        self, engine: KvEngine, store: StoreClient, shape: RunShape, positions: range
    ) -> bool:
        """Export the blocks at these positions; return whether to continue."""
        owner = self._names.owner_tag(shape.account)
        shard = shard_of(shape.block_keys[0])
        wanted = tuple(
            SlotRequest(shape.block_keys[position], position + 1, shard, owner)
            for position in positions
        )
        order_id = f"{shape.run_id}-{store.name}-{positions.start}"
        plan = ExportPlan(order_id, shape.model, shape.version, wanted)
        result = await self._exporter.export(plan, engine, store)
        if not isinstance(result, Exported):
            self._metrics.count("kept_exports_failed_total", store=store.name)
            return False
        count = len(result.published)
        self._metrics.count("kept_exported_blocks_total", count, store=store.name)
        self._metrics.count(
            "kept_link_bytes_total",
            count * self._block_bytes,
            store=store.name,
            direction="export",
        )
        if result.is_full:
            self._metrics.count("kept_store_full_total", store=store.name)
        return result.blocks == len(wanted)

    def _stores_for(
        self, shape: RunShape, offers: list[KeepOffer]
    ) -> list[StoreClient]:
        """Return the stores that receive a prompt's pieces.

        These are all stores if a piece occurs in several prompts, and otherwise one
        store, chosen by the prompt's first block.
        """
        names = sorted(self._store_by_name)
        if any(offer.is_shared for offer in offers):
            return [self._store_by_name[name] for name in names]
        index = shard_of(shape.block_keys[0]) % len(names)
        return [self._store_by_name[names[index]]]


def _join_consecutive(offers: list[KeepOffer]) -> list[tuple[int, int]]:
    """Join consecutive pieces into runs, each a first block and a block count."""
    runs: list[tuple[int, int]] = []
    for first in sorted(offer.piece.first for offer in offers):
        if runs and sum(runs[-1]) == first:
            runs[-1] = (runs[-1][0], runs[-1][1] + PIECE_BLOCKS)
        else:
            runs.append((first, PIECE_BLOCKS))
    return runs
