"""Upstreams (model engines and plain services) behind narrow protocols."""

from ._engine_http import HttpEngine
from ._kv import (
    BlockRef,
    CacheChange,
    CacheEvent,
    CacheEvents,
    ExportOrder,
    ExportReport,
    ImportOrder,
    ImportReport,
    Miss,
    MissReason,
    block_checksum,
)
from ._kv_http import HttpKvEngine
from ._messages import (
    Accepted,
    Broken,
    CancelState,
    EngineCall,
    EngineEvent,
    EngineState,
    Finished,
    KeepAlive,
    LoadReport,
    Piece,
    Refused,
    ServiceCall,
    ServiceReply,
)
from ._orders import (
    EngineOrder,
    OrderedEngine,
    OrderReason,
    OrderRefused,
    OrderResult,
)
from ._orders_http import HttpOrderedEngine
from ._protocols import Engine, KvEngine, PlainService
from ._service_http import HttpService
from ._tokens import BLOCK_TOKENS, count_tokens, split_blocks, split_tokens

__all__ = [
    "BLOCK_TOKENS",
    "Accepted",
    "BlockRef",
    "Broken",
    "CacheChange",
    "CacheEvent",
    "CacheEvents",
    "CancelState",
    "Engine",
    "EngineCall",
    "EngineEvent",
    "EngineOrder",
    "EngineState",
    "ExportOrder",
    "ExportReport",
    "Finished",
    "HttpEngine",
    "HttpKvEngine",
    "HttpOrderedEngine",
    "HttpService",
    "ImportOrder",
    "ImportReport",
    "KeepAlive",
    "KvEngine",
    "LoadReport",
    "Miss",
    "MissReason",
    "OrderReason",
    "OrderRefused",
    "OrderResult",
    "OrderedEngine",
    "Piece",
    "PlainService",
    "Refused",
    "ServiceCall",
    "ServiceReply",
    "block_checksum",
    "count_tokens",
    "split_blocks",
    "split_tokens",
]
