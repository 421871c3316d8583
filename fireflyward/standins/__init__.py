"""Small stand-ins of what the product serves and of what the platform gives.

The decisions of each (``EngineModel``, ``MemoryTable``, …) have no sockets and
take the time as an argument, so tests drive them in memory; the HTTP servers put
them behind the interface that docs/PLATFORM.md describes.
"""

from ._engine_model import EngineCosts, EngineModel, answer_text, answer_token
from ._engine_server import EngineServer
from ._platform_memory import MemoryObjects, MemoryTable, MemoryVms, MemoryWeights
from ._platform_server import PlatformServer
from ._service_server import ServiceServer

__all__ = [
    "EngineCosts",
    "EngineModel",
    "EngineServer",
    "MemoryObjects",
    "MemoryTable",
    "MemoryVms",
    "MemoryWeights",
    "PlatformServer",
    "ServiceServer",
    "answer_text",
    "answer_token",
]
