"""Imports before a prompt is dispatched, and exports after it was served."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fireflyward.clock import Clock
from fireflyward.kept import (
    BlockNames,
    Exported,
    Exporter,
    ExportPlan,
    ImportAsk,
    Imported,
    Importer,
    ShardLookUp,
    StoreClient,
    Wanted,
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
_YIELD_MS = 5
_LONGEST_YIELD_MS = 2_000
_MAX_WAITING = 256
_MAX_HINTS = 4_096


class IndexedPrefixes:
    """What the index says of a prompt, for placement.

    Of replicas whose events are followed the index knows evictions. Of the others
    only this node's own record tells, which knows of none.
    """

    __slots__ = ("_last", "_look_up", "_router", "followed", "store_names")

    def __init__(self, look_up: ShardLookUp, router: Router) -> None:
        self._look_up = look_up
        self._router = router
        self.store_names: frozenset[str] = frozenset()
        self.followed: frozenset[str] = frozenset()
        self._last: tuple[float, RunShape, PrefixLocations] | None = None

    def locate(self, now_ms: float, shape: RunShape) -> PrefixLocations:
        """Return the replicas' and the stores' parts of a prompt.

        Routing asks once for each replica within one choice; the answer is worked
        out for the first of them only.
        """
        if self._last and self._last[0] == now_ms and self._last[1] is shape:
            return self._last[2]
        known = self._find(shape)
        self._last = now_ms, shape, known
        return known

    async def look_up(self, shape: RunShape) -> None:
        """Ask the holders of the prompt's shard, if this node is none."""
        await self._look_up.ask(shape.block_keys)
        self._last = None

    def _find(self, shape: RunShape) -> PrefixLocations:
        sent = self._router.affinity.record.cached_tokens(shape.block_keys)
        held = {
            name: tokens // BLOCK_TOKENS
            for name, tokens in sent.items()
            if name not in self.followed
        }
        stored = []
        for run in self._look_up.find(shape.block_keys):
            if run.holder in self.store_names:
                stored.append(StoredRun(run.holder, run.first, run.blocks))
            elif run.first == 0:
                held[run.holder] = run.blocks
        return PrefixLocations(held, tuple(stored))

    def start_of(self, shape: RunShape, plan: Import) -> int:
        """Return where the store's run begins that a plan is a part of."""
        for run in self._look_up.find(shape.block_keys):
            if run.holder == plan.store and run.first <= plan.first:
                if plan.first < run.first + run.blocks:
                    return run.first
        return plan.first


@dataclass(frozen=True, slots=True)
class PromptHint:
    """What a caller told of a prompt's return: a named prefix, or a session."""

    prefix_blocks: int = 0
    has_session: bool = False


@dataclass(frozen=True, slots=True)
class _Served:
    """A prompt that a replica has computed, or soon will have."""

    at_ms: int
    replica: str
    shape: RunShape
    hint: PromptHint


class KeptWork:
    """Orders the imports and exports of one node.

    An import has its limit from the estimate of what recomputing would take, so a
    store that is slow, dead or full delays an answer by at most a small share of
    that. Exports wait until the prompt was computed and while an import is under
    way; the oldest are dropped when too many wait, since they only save later work.
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
        self._imports = 0
        self._hint_by_run: OrderedDict[str, PromptHint] = OrderedDict()

    def hint(self, run_id: str, prefix_blocks: int, has_session: bool) -> None:
        """Take what a caller told of a prompt's return, before it is prepared."""
        if not prefix_blocks and not has_session:
            return
        self._hint_by_run[run_id] = PromptHint(prefix_blocks, has_session)
        while len(self._hint_by_run) > _MAX_HINTS:
            self._hint_by_run.popitem(last=False)

    async def prepare(self, replica: str, call: EngineCall, shape: RunShape) -> None:
        """Import what placement would import to this replica, in bounded time."""
        if self._store_by_name:
            await self.prefixes.look_up(shape)
        now_ms = self._clock.now_ms()
        candidate = self._router.candidate(replica)
        if candidate is not None and self._store_by_name:
            estimate = self.placement.estimate(now_ms, candidate, shape)
            if isinstance(estimate.plan, Import):
                await self._import(replica, call, shape, estimate)
        if self._store_by_name:
            self._note_served(now_ms, replica, shape)

    def _note_served(self, now_ms: int, replica: str, shape: RunShape) -> None:
        """Remember a prompt; a later attempt of the same run replaces an earlier.

        Counted twice, a prompt that was only tried again would look like one that
        returned, and would be kept for it.
        """
        waiting = self._served_by_run
        earlier = waiting.get(shape.run_id)
        default = earlier.hint if earlier else PromptHint()
        hint = self._hint_by_run.pop(shape.run_id, default)
        waiting[shape.run_id] = _Served(now_ms, replica, shape, hint)
        waiting.move_to_end(shape.run_id)
        while len(waiting) > _MAX_WAITING:
            waiting.popitem(last=False)

    async def export_due(self) -> None:
        """Export the prompts that were served long enough ago."""
        waiting = self._served_by_run
        while waiting and not self._imports:
            oldest = next(iter(waiting.values()))
            if self._clock.now_ms() - oldest.at_ms < _EXPORT_DELAY_MS:
                return
            del waiting[oldest.shape.run_id]
            await self._export_prompt(oldest)

    async def _import(
        self, replica: str, call: EngineCall, shape: RunShape, estimate: Estimate
    ) -> None:
        plan = estimate.plan
        store = self._store_by_name.get(plan.store)
        engine = self._kv_by_replica.get(replica)
        if store is None or engine is None:
            return
        # What the replica was expected to hold may have been evicted, and a part
        # without its beginning is of no use. So the order starts where the store's
        # run starts; the engine reads nothing of what it has.
        first = self.prefixes.start_of(shape, plan)
        keys = shape.block_keys[first : plan.first + plan.blocks]
        ask = ImportAsk(
            call.run_id,
            call.model,
            call.version,
            keys,
            shape.block_keys[0],
            plan.block_ms,
        )
        began_ms = self._clock.now_ms()
        watch = ImportWatch(began_ms, plan, queue_ms=estimate.queue_ms)
        links, size = self.placement.links, plan.blocks * self._block_bytes
        links.on_start(plan.store, size)
        self._imports += 1
        try:
            result = await self._importer.load(ask, engine, store, watch)
        finally:
            self._imports -= 1
            links.on_end(plan.store, size)
        self._note_import(plan.store, result, self._clock.now_ms() - began_ms)

    def _note_import(self, store: str, result: Imported, took_ms: float) -> None:
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
        known = self.prefixes.locate(self._clock.now_ms(), shape)
        kept = max((run.end for run in known.stored if not run.first), default=0)
        seen = ServedPrompt(
            shape.account,
            shape.block_keys,
            has_session=served.hint.has_session,
            hinted_blocks=served.hint.prefix_blocks,
            kept_blocks=kept,
        )
        offers = self._keep.on_prompt(self._clock.now_ms(), seen)
        engine = self._kv_by_replica.get(served.replica)
        if engine is None or not self._store_by_name:
            return
        for first, blocks in _consecutive(offers):
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
        """Export in small parts, so that an import that comes waits for one only."""
        end = first + blocks
        for start in range(first, end, _EXPORT_BLOCKS):
            await self._let_imports_go_first()
            places = range(start, min(end, start + _EXPORT_BLOCKS))
            if not await self._export_part(engine, store, shape, places):
                return

    async def _let_imports_go_first(self) -> None:
        until_ms = self._clock.now_ms() + _LONGEST_YIELD_MS
        while self._imports and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(_YIELD_MS)

    async def _export_part(
        self, engine: KvEngine, store: StoreClient, shape: RunShape, places: range
    ) -> bool:
        """Export the blocks at these places; return whether the rest is of use."""
        owner = self._names.owner_tag(shape.account)
        shard = shard_of(shape.block_keys[0])
        wanted = tuple(
            Wanted(shape.block_keys[place], place + 1, shard, owner) for place in places
        )
        order_id = f"{shape.run_id}-{store.name}-{places.start}"
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
        """Return every store for a shared prompt, else one by its first block."""
        names = sorted(self._store_by_name)
        if any(offer.is_shared for offer in offers):
            return [self._store_by_name[name] for name in names]
        place = shard_of(shape.block_keys[0]) % len(names)
        return [self._store_by_name[names[place]]]


def _consecutive(offers: list[KeepOffer]) -> list[tuple[int, int]]:
    """Join pieces that follow each other into runs of first block and count."""
    runs: list[tuple[int, int]] = []
    for first in sorted(offer.piece.first for offer in offers):
        if runs and sum(runs[-1]) == first:
            runs[-1] = (runs[-1][0], runs[-1][1] + PIECE_BLOCKS)
        else:
            runs.append((first, PIECE_BLOCKS))
    return runs
