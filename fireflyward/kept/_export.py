"""Writing cached blocks to a store, step by step."""

from dataclasses import dataclass

from fireflyward.steps import Step, StepObserver, ignore_step
from fireflyward.upstreams import (
    BlockRef,
    ExportOrder,
    ExportReport,
    KvEngine,
    Miss,
)

from ._stores import Reserved, SlotRequest, StoreClient, StoreUnavailable


class ExportStep(Step):
    """Steps of an export, at each of which the exporting node may crash."""

    CHOSEN = "export: chosen"
    RESERVED = "export: reserved"
    SEALED = "export: sealed"
    PUBLISHED = "export: published"


@dataclass(frozen=True, slots=True)
class ExportPlan:
    """Consecutive blocks of one prompt that an engine has, to be written to a store."""

    order_id: str
    model: str
    version: str
    wanted: tuple[SlotRequest, ...]


@dataclass(frozen=True, slots=True)
class Exported:
    """The blocks that the store now has; ``missing`` blocks were not written.

    ``blocks`` counts the stored blocks from the first wanted one up to the first gap,
    since a block is useless without the blocks before it.
    """

    blocks: int
    published: tuple[BlockRef, ...] = ()
    missing: tuple[Miss, ...] = ()
    is_full: bool = False


@dataclass(frozen=True, slots=True)
class NotExported:
    """The export failed; a sweep frees any slots that it left behind."""

    detail: str


class Exporter:
    """Executes the steps reserve, write, seal and publish for the blocks of a plan.

    The node sends the orders; the engine writes and seals. If this process crashes at
    any step, the slots stay reserved or sealed. Such slots are never read, and the
    sweep frees them by their age. If the engine continues to write after the slot was
    freed, its descriptor contains a generation that the slot no longer has, and the
    store rejects the write.
    """

    __slots__ = ("_observe", "_url_by_store")

    def __init__(
        self, url_by_store: dict[str, str], *, observe: StepObserver = ignore_step
    ) -> None:
        self._url_by_store = url_by_store
        self._observe = observe

    async def export(
        self, plan: ExportPlan, engine: KvEngine, store: StoreClient
    ) -> Exported | NotExported:
        """Export as many blocks of a plan as possible."""
        self._observe(ExportStep.CHOSEN)
        reserved = await store.reserve(plan.wanted)
        if isinstance(reserved, StoreUnavailable):
            return NotExported(f"{store.name}: {reserved.detail}")
        self._observe(ExportStep.RESERVED)
        if not reserved.refs:
            return _exported(plan, reserved, (), ())
        report = await engine.export_blocks(self._order(plan, reserved, store.name))
        if not isinstance(report, ExportReport):
            await store.abandon(reserved.refs)
            return NotExported(f"engine: {report.detail}")
        self._observe(ExportStep.SEALED)
        contiguous = _contiguous_prefix(plan, reserved, report.sealed)
        published = await store.publish(contiguous)
        if isinstance(published, StoreUnavailable):
            return NotExported(f"{store.name}: {published.detail}")
        self._observe(ExportStep.PUBLISHED)
        await self._abandon_unused(reserved, contiguous, store)
        return _exported(plan, reserved, published.refs, report.missing)

    def _order(
        self, plan: ExportPlan, reserved: Reserved, store_name: str
    ) -> ExportOrder:
        url_by_store = {store_name: self._url_by_store.get(store_name, "")}
        return ExportOrder(
            plan.order_id, plan.model, plan.version, reserved.refs, url_by_store
        )

    async def _abandon_unused(
        self, reserved: Reserved, published: tuple[BlockRef, ...], store: StoreClient
    ) -> None:
        used = {ref.slot for ref in published}
        unused = tuple(ref for ref in reserved.refs if ref.slot not in used)
        if unused:
            await store.abandon(unused)


def _contiguous_prefix(
    plan: ExportPlan, reserved: Reserved, sealed: tuple[BlockRef, ...]
) -> tuple[BlockRef, ...]:
    """Return the sealed blocks before the first block that the store lacks."""
    already_kept_keys = {ref.key for ref in reserved.already_kept}
    sealed_by_key = {ref.key: ref for ref in sealed}
    contiguous = []
    for item in plan.wanted:
        if item.key in sealed_by_key:
            contiguous.append(sealed_by_key[item.key])
        elif item.key not in already_kept_keys:
            break
    return tuple(contiguous)


def _exported(
    plan: ExportPlan,
    reserved: Reserved,
    published: tuple[BlockRef, ...],
    missing: tuple[Miss, ...],
) -> Exported:
    stored_keys = {ref.key for ref in (*reserved.already_kept, *published)}
    blocks = 0
    for item in plan.wanted:
        if item.key not in stored_keys:
            break
        blocks += 1
    return Exported(blocks, published, missing, reserved.is_full)
