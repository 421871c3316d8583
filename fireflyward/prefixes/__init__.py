"""Where the KV cache of shared prompt parts is kept, and who saves it."""

from ._follow import Following, StoreFollower
from ._index import KvEvent, KvUpdate, PartKey, StoreIndex
from ._janitor import GarbageCollector
from ._planner import KvPlan, PartPlanner
from ._salt import cache_salt, salt_version
from ._sharing import SharedStoreReader
from ._telling import StorePublisher

__all__ = [
    "Following",
    "GarbageCollector",
    "KvEvent",
    "KvUpdate",
    "KvPlan",
    "PartKey",
    "PartPlanner",
    "SharedStoreReader",
    "StoreFollower",
    "StoreIndex",
    "StorePublisher",
    "cache_salt",
    "salt_version",
]
