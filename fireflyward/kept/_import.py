"""Loads stored blocks into an engine before a prompt is sent to it."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fireflyward.clock import Clock, TimedOut, within_ms
from fireflyward.steps import Step, StepObserver, ignore_step
from fireflyward.upstreams import (
    BlockRef,
    ImportOrder,
    ImportReport,
    KvEngine,
    MissReason,
)

from ._stores import AppliedRefs, StoreClient, StoreUnavailable

_BLOCKS_PER_ORDER = 8


class ImportStep(Step):
    """Steps of an import, at each of which the weight version may change."""

    CHOSEN = "import: chosen"
    DESCRIBED = "import: described"
    VERSION_CHECKED = "import: version checked"
    LOADED = "import: loaded"


class ImportLimit(Protocol):
    """The time limit of an import, which is extended while blocks arrive."""

    def abort_at_ms(self) -> float: ...

    def on_blocks(self, blocks: int) -> None: ...


@dataclass(frozen=True, slots=True)
class ImportRequest:
    """Consecutive blocks of one prompt, and the version that the prompt is for.

    ``block_ms`` is the time to compute one block; every loaded block extends the limit
    for the remaining blocks by this time.
    """

    order_id: str
    model: str
    version: str
    block_keys: tuple[str, ...]
    first_key: str = ""
    block_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Imported:
    """How many blocks, from the first, were loaded, and why the others were not."""

    blocks: int
    bytes_read: int = 0
    reason: MissReason | None = None


class Importer:
    """Loads blocks in small orders for as long as the limit allows.

    A failed import never prevents a prompt from being computed: every failure ends
    the import with a reason, which is counted, and blocks that were loaded stay
    usable. After the store has answered, the importer checks again whether new
    requests are still served by this version, since a new bundle may have come into
    force in the meantime. The engine compares its own version again before it uses a
    block.
    """

    __slots__ = ("_clock", "_is_served", "_observe", "_url_by_store", "misses")

    def __init__(
        self,
        clock: Clock,
        url_by_store: dict[str, str],
        is_served: Callable[[str, str], bool],
        *,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._clock = clock
        self._url_by_store = url_by_store
        self._is_served = is_served
        self._observe = observe
        self.misses: Counter[MissReason] = Counter()

    async def load(
        self,
        request: ImportRequest,
        engine: KvEngine,
        store: StoreClient,
        limit: ImportLimit,
    ) -> Imported:
        """Load as many blocks as possible within the limit."""
        self._observe(ImportStep.CHOSEN)
        found = await self._describe(request, store, limit)
        if isinstance(found, MissReason):
            return self._aborted(0, 0, found)
        self._observe(ImportStep.DESCRIBED)
        blocks = bytes_read = 0
        for start in range(0, len(found), _BLOCKS_PER_ORDER):
            chunk = found[start : start + _BLOCKS_PER_ORDER]
            report = await self._load_chunk(request, engine, store.name, chunk, limit)
            if isinstance(report, MissReason):
                return self._aborted(blocks, bytes_read, report)
            blocks += report.blocks
            bytes_read += report.bytes_read
            limit.on_blocks(report.blocks)
            if report.blocks < len(chunk):
                return self._aborted(blocks, bytes_read, _first_miss_reason(report))
        if len(found) < len(request.block_keys):
            return self._aborted(blocks, bytes_read, MissReason.NOT_KEPT)
        self._observe(ImportStep.LOADED)
        return Imported(blocks, bytes_read)

    async def _describe(
        self, request: ImportRequest, store: StoreClient, limit: ImportLimit
    ) -> tuple[BlockRef, ...] | MissReason:
        work = store.describe(request.block_keys)
        found = await within_ms(self._clock, self._remaining_ms(limit), work)
        if isinstance(found, TimedOut):
            return MissReason.DEADLINE
        if isinstance(found, StoreUnavailable):
            return MissReason.STORE_AWAY
        return _check_refs(request.block_keys, found)

    async def _load_chunk(
        self,
        request: ImportRequest,
        engine: KvEngine,
        store_name: str,
        refs: tuple[BlockRef, ...],
        limit: ImportLimit,
    ) -> ImportReport | MissReason:
        if not self._is_served(request.model, request.version):
            return MissReason.WRONG_VERSION
        self._observe(ImportStep.VERSION_CHECKED)
        remaining_ms = self._remaining_ms(limit)
        if remaining_ms <= 0:
            return MissReason.DEADLINE
        order = ImportOrder(
            request.order_id,
            request.model,
            request.version,
            refs,
            {store_name: self._url_by_store.get(store_name, "")},
            int(remaining_ms),
            request.first_key,
            request.block_ms,
        )
        # The engine observes the limit too; this timeout covers a silent engine.
        max_ms = remaining_ms + request.block_ms * len(refs)
        report = await within_ms(self._clock, max_ms, engine.import_blocks(order))
        if isinstance(report, TimedOut):
            return MissReason.DEADLINE
        if not isinstance(report, ImportReport):
            return MissReason.ENGINE_AWAY
        return report

    def _remaining_ms(self, limit: ImportLimit) -> float:
        return max(0.0, limit.abort_at_ms() - self._clock.now_ms())

    def _aborted(self, blocks: int, bytes_read: int, reason: MissReason) -> Imported:
        self.misses[reason] += 1
        return Imported(blocks, bytes_read, reason)


def _check_refs(
    keys: tuple[str, ...], found: AppliedRefs
) -> tuple[BlockRef, ...] | MissReason:
    """Check that a store's answer contains the requested keys, in order."""
    if not found.refs:
        return MissReason.NOT_KEPT
    for key, ref in zip(keys, found.refs, strict=False):
        if ref.key != key:
            return MissReason.WRONG_KEY
    return found.refs[: len(keys)]


def _first_miss_reason(report: ImportReport) -> MissReason:
    return report.misses[0].reason if report.misses else MissReason.NOT_KEPT
