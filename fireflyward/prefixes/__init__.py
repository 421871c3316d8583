"""Tracks which stores hold the KV cache of shared prompt parts, and plans its use."""

from ._follow import FollowMode, StoreFollower
from ._garbage import GarbageCollector
from ._index import KvEvent, KvUpdate, PartKey, StoreIndex
from ._planner import KvPlan, PartPlanner
from ._publisher import StorePublisher
from ._salt import cache_salt, salt_version
from ._sharing import SharedStoreReader

__all__ = [
    "FollowMode",
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
