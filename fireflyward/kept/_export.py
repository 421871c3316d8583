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
    """Points at which the writer of kept blocks may die."""

    CHOSEN = "export: chosen"
    RESERVED = "export: reserved"
    SEALED = "export: sealed"
    PUBLISHED = "export: published"


@dataclass(frozen=True, slots=True)
class ExportPlan:
    """Consecutive blocks of one prompt that an engine has and a store should keep."""

    order_id: str
    model: str
    version: str
    wanted: tuple[SlotRequest, ...]


@dataclass(frozen=True, slots=True)
class Exported:
    """What the store has now; ``missing`` blocks were not written.

    ``blocks`` counts from the first wanted block, without a hole, since a block is
    of no use without those before it.
    """

    blocks: int
    published: tuple[BlockRef, ...] = ()
    missing: tuple[Miss, ...] = ()
    is_full: bool = False


@dataclass(frozen=True, slots=True)
class NotExported:
    """Nothing is known to have been kept; a sweep finds what was left."""

    detail: str


class Exporter:
    """Takes blocks through reserve, write, seal and publish.

    The node orders; the engine writes and seals. Should this process die at any
    step, the slots stay reserved or sealed. Nobody reads them, and the sweep frees
    them by their age. Should the engine go on writing after that, its descriptor
    names a generation that the slot no longer has, and the write is a miss.
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
        """Keep what can be kept of a plan."""
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
        whole = _without_hole(plan, reserved, report.sealed)
        published = await store.publish(whole)
        if isinstance(published, StoreUnavailable):
            return NotExported(f"{store.name}: {published.detail}")
        self._observe(ExportStep.PUBLISHED)
        await self._give_back(reserved, whole, store)
        return _exported(plan, reserved, published.refs, report.missing)

    def _order(
        self, plan: ExportPlan, reserved: Reserved, store_name: str
    ) -> ExportOrder:
        url_by_store = {store_name: self._url_by_store.get(store_name, "")}
        return ExportOrder(
            plan.order_id, plan.model, plan.version, reserved.refs, url_by_store
        )

    async def _give_back(
        self, reserved: Reserved, published: tuple[BlockRef, ...], store: StoreClient
    ) -> None:
        used = {ref.slot for ref in published}
        unused = tuple(ref for ref in reserved.refs if ref.slot not in used)
        if unused:
            await store.abandon(unused)


def _without_hole(
    plan: ExportPlan, reserved: Reserved, sealed: tuple[BlockRef, ...]
) -> tuple[BlockRef, ...]:
    """Return the sealed blocks before the first that is neither sealed nor kept."""
    kept = {ref.key for ref in reserved.already_kept}
    sealed_by_key = {ref.key: ref for ref in sealed}
    whole = []
    for item in plan.wanted:
        if item.key in sealed_by_key:
            whole.append(sealed_by_key[item.key])
        elif item.key not in kept:
            break
    return tuple(whole)


def _exported(
    plan: ExportPlan,
    reserved: Reserved,
    published: tuple[BlockRef, ...],
    missing: tuple[Miss, ...],
) -> Exported:
    there = {ref.key for ref in (*reserved.already_kept, *published)}
    blocks = 0
    for item in plan.wanted:
        if item.key not in there:
            break
        blocks += 1
    return Exported(blocks, published, missing, reserved.is_full)
