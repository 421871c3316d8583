"""Where the KV cache of shared prompt parts is kept, and who saves it."""

from ._follow import StoreFollower
from ._index import KvEvent, KvNews, PartKey, StoreIndex
from ._janitor import Janitor
from ._planner import KvPlan, PartPlanner
from ._salt import cache_salt, salt_version

__all__ = [
    "Janitor",
    "KvEvent",
    "KvNews",
    "KvPlan",
    "PartKey",
    "PartPlanner",
    "StoreFollower",
    "StoreIndex",
    "cache_salt",
    "salt_version",
]
