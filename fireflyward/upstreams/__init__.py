"""Upstreams: model engines and plain services, behind narrow protocols."""

from ._engine_http import HttpEngine
from ._messages import (
    Accepted,
    Broken,
    CancelState,
    EngineCall,
    EngineEvent,
    EngineState,
    Finished,
    LoadReport,
    Piece,
    Refused,
    ServiceCall,
    ServiceReply,
)
from ._protocols import Engine, PlainService
from ._service_http import HttpService
from ._tokens import BLOCK_TOKENS, count_tokens, split_tokens

__all__ = [
    "BLOCK_TOKENS",
    "Accepted",
    "Broken",
    "CancelState",
    "Engine",
    "EngineCall",
    "EngineEvent",
    "EngineState",
    "Finished",
    "HttpEngine",
    "HttpService",
    "LoadReport",
    "Piece",
    "PlainService",
    "Refused",
    "ServiceCall",
    "ServiceReply",
    "count_tokens",
    "split_tokens",
]
