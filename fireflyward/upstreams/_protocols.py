"""The interfaces of an engine and of a plain service that nodes use."""

from collections.abc import AsyncIterator
from typing import Protocol

from ._kv import CacheEvents, ExportOrder, ExportReport, ImportOrder, ImportReport
from ._messages import (
    Broken,
    CancelState,
    EngineCall,
    EngineEvent,
    LoadReport,
    Refused,
    ServiceCall,
    ServiceReply,
)


class Engine(Protocol):
    """One replica of a model engine."""

    def generate(self, call: EngineCall) -> AsyncIterator[EngineEvent]:
        """Start a run and yield its events up to and including a final one."""

    def resume(self, run_id: str, offset: int) -> AsyncIterator[EngineEvent]:
        """Yield the events of an already started run, from ``offset``."""

    async def cancel(self, run_id: str) -> CancelState: ...

    async def load(self) -> LoadReport | Broken: ...


class KvEngine(Protocol):
    """The KV cache of one replica; see docs/platform/engine-kv.md."""

    async def export_blocks(
        self, order: ExportOrder
    ) -> ExportReport | Refused | Broken: ...

    async def import_blocks(
        self, order: ImportOrder
    ) -> ImportReport | Refused | Broken: ...

    async def cache_events(
        self, after: int, *, stride: int = 1
    ) -> CacheEvents | Broken: ...


class PlainService(Protocol):
    """One replica of a plain service."""

    async def call(self, call: ServiceCall) -> ServiceReply | Refused | Broken: ...
