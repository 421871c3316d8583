"""Loading kept blocks into an engine before a prompt is sent to it."""

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

from ._stores import Done, StoreAway, StoreClient

_CHUNK_BLOCKS = 8


class ImportStep(Step):
    """Points of an import; a version may be swapped at each."""

    CHOSEN = "import: chosen"
    DESCRIBED = "import: described"
    VERSION_CHECKED = "import: version checked"
    LOADED = "import: loaded"


class ImportLimit(Protocol):
    """Until when an import may go on; it grows while blocks arrive."""

    def abort_at_ms(self) -> float: ...

    def on_blocks(self, blocks: int) -> None: ...


@dataclass(frozen=True, slots=True)
class ImportAsk:
    """Consecutive blocks of one prompt, and the version that the prompt is for.

    ``block_ms`` is what computing one block takes; each that is loaded gives the
    rest so much more time.
    """

    order_id: str
    model: str
    version: str
    block_keys: tuple[str, ...]
    first_key: str = ""
    block_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Imported:
    """How many blocks, from the first, the engine has now, and why not more."""

    blocks: int
    bytes_read: int = 0
    reason: MissReason | None = None


class Importer:
    """Loads blocks in small orders for as long as the limit allows.

    Nothing here can keep a prompt from being computed: every failure ends the
    import with a reason, which is counted, and what was loaded stays usable. Whether
    new requests are still served by the version is asked again after the store has
    answered, since a bundle may have come into force meanwhile; the engine compares
    its own once more before it uses a block.
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
        self, ask: ImportAsk, engine: KvEngine, store: StoreClient, limit: ImportLimit
    ) -> Imported:
        """Load what can be loaded in time."""
        self._observe(ImportStep.CHOSEN)
        found = await self._describe(ask, store, limit)
        if isinstance(found, MissReason):
            return self._ended(0, 0, found)
        self._observe(ImportStep.DESCRIBED)
        blocks = bytes_read = 0
        for start in range(0, len(found), _CHUNK_BLOCKS):
            chunk = found[start : start + _CHUNK_BLOCKS]
            report = await self._load_chunk(ask, engine, store.name, chunk, limit)
            if isinstance(report, MissReason):
                return self._ended(blocks, bytes_read, report)
            blocks += report.blocks
            bytes_read += report.bytes_read
            limit.on_blocks(report.blocks)
            if report.blocks < len(chunk):
                return self._ended(blocks, bytes_read, _reason(report))
        if len(found) < len(ask.block_keys):
            return self._ended(blocks, bytes_read, MissReason.NOT_KEPT)
        self._observe(ImportStep.LOADED)
        return Imported(blocks, bytes_read)

    async def _describe(
        self, ask: ImportAsk, store: StoreClient, limit: ImportLimit
    ) -> tuple[BlockRef, ...] | MissReason:
        work = store.describe(ask.block_keys)
        found = await within_ms(self._clock, self._left_ms(limit), work)
        if isinstance(found, TimedOut):
            return MissReason.DEADLINE
        if isinstance(found, StoreAway):
            return MissReason.STORE_AWAY
        return _matching(ask.block_keys, found)

    async def _load_chunk(
        self,
        ask: ImportAsk,
        engine: KvEngine,
        store_name: str,
        refs: tuple[BlockRef, ...],
        limit: ImportLimit,
    ) -> ImportReport | MissReason:
        if not self._is_served(ask.model, ask.version):
            return MissReason.WRONG_VERSION
        self._observe(ImportStep.VERSION_CHECKED)
        left_ms = self._left_ms(limit)
        if left_ms <= 0:
            return MissReason.DEADLINE
        order = ImportOrder(
            ask.order_id,
            ask.model,
            ask.version,
            refs,
            {store_name: self._url_by_store.get(store_name, "")},
            int(left_ms),
            ask.first_key,
            ask.block_ms,
        )
        # The engine keeps the limit too; this one holds when the engine is silent.
        most_ms = left_ms + ask.block_ms * len(refs)
        report = await within_ms(self._clock, most_ms, engine.import_blocks(order))
        if isinstance(report, TimedOut):
            return MissReason.DEADLINE
        if not isinstance(report, ImportReport):
            return MissReason.ENGINE_AWAY
        return report

    def _left_ms(self, limit: ImportLimit) -> float:
        return max(0.0, limit.abort_at_ms() - self._clock.now_ms())

    def _ended(self, blocks: int, bytes_read: int, reason: MissReason) -> Imported:
        self.misses[reason] += 1
        return Imported(blocks, bytes_read, reason)


def _matching(keys: tuple[str, ...], found: Done) -> tuple[BlockRef, ...] | MissReason:
    """Hold a store's answer against the question, key by key."""
    if not found.refs:
        return MissReason.NOT_KEPT
    for key, ref in zip(keys, found.refs, strict=False):
        if ref.key != key:
            return MissReason.WRONG_KEY
    return found.refs[: len(keys)]


def _reason(report: ImportReport) -> MissReason:
    return report.misses[0].reason if report.misses else MissReason.NOT_KEPT
