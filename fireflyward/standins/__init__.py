"""Small stand-ins for the upstreams and for the services of the platform.

The classes that make the decisions (``EngineModel``, ``MemoryTable``, …) have no
sockets, and the engines and stores get the time from their caller, so tests run
them in memory. The HTTP servers offer them through the interface that
docs/PLATFORM.md describes.
"""

from ._engine_chunks import ChunkedEngineModel
from ._engine_faults import EngineFaults
from ._engine_kv import EngineCache, EngineKv, EventFaults, check_block, kv_payload
from ._engine_memory import MemoryEngine
from ._engine_model import EngineCosts, EngineModel, answer_text, answer_token
from ._engine_orders import EngineOrders, WeightSource
from ._engine_server import EngineServer
from ._fault_injection import FaultInjector, ServiceFaults
from ._memory_fleet import MemoryFleet, MemoryOrderedEngine
from ._platform_memory import MemoryObjects, MemoryTable, MemoryVms, MemoryWeights
from ._platform_server import PlatformServer
from ._service_server import ServiceServer
from ._store_memory import MemoryStore
from ._store_model import StoreModel
from ._store_server import StoreServer
from ._store_slots import StoreCosts, StoreFaults

__all__ = [
    "ChunkedEngineModel",
    "EngineCache",
    "EngineCosts",
    "EngineFaults",
    "EngineKv",
    "EngineModel",
    "EngineOrders",
    "EngineServer",
    "EventFaults",
    "FaultInjector",
    "MemoryEngine",
    "MemoryFleet",
    "MemoryObjects",
    "MemoryOrderedEngine",
    "MemoryStore",
    "MemoryTable",
    "MemoryVms",
    "MemoryWeights",
    "PlatformServer",
    "ServiceFaults",
    "ServiceServer",
    "StoreCosts",
    "StoreFaults",
    "StoreModel",
    "StoreServer",
    "WeightSource",
    "answer_text",
    "answer_token",
    "check_block",
    "kv_payload",
]
