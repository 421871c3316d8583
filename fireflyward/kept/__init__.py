"""Stores KV blocks of prompts, so that later prompts need not recompute them."""

from fireflyward.upstreams import BlockRef

from ._eviction import choose_victims
from ._export import Exported, Exporter, ExportPlan, ExportStep, NotExported
from ._import import Imported, Importer, ImportLimit, ImportRequest, ImportStep
from ._index import INDEX_STRIDE, HeldRun, PrefixIndex
from ._keys import BlockNames
from ._look_up import ShardLookUp
from ._prefix_texts import PrefixScope, PrefixText, PrefixTexts, UnknownPrefix
from ._readers import EngineReader, StoreReader
from ._shard_holders import ALL_SHARDS, holders_of, shards_held_by
from ._store_http import HttpStore
from ._stores import (
    SHARDS,
    AppliedRefs,
    ColdBlock,
    Fenced,
    Listing,
    ListQuery,
    Reserved,
    SlotRequest,
    SlotState,
    StoreChange,
    StoreClient,
    StoreUnavailable,
    StoreUsage,
    Unfinished,
    shard_of,
)
from ._sweep import FreeStep, HeldLease, NotSwept, Sweeper, Swept

__all__ = [
    "ALL_SHARDS",
    "INDEX_STRIDE",
    "SHARDS",
    "BlockNames",
    "BlockRef",
    "ColdBlock",
    "AppliedRefs",
    "EngineReader",
    "ExportPlan",
    "ExportStep",
    "Exported",
    "Exporter",
    "Fenced",
    "FreeStep",
    "HeldLease",
    "HeldRun",
    "HttpStore",
    "ImportRequest",
    "ImportLimit",
    "ImportStep",
    "Imported",
    "Importer",
    "ListQuery",
    "Listing",
    "NotExported",
    "NotSwept",
    "PrefixIndex",
    "PrefixScope",
    "PrefixText",
    "PrefixTexts",
    "Reserved",
    "StoreUsage",
    "ShardLookUp",
    "SlotState",
    "StoreUnavailable",
    "StoreChange",
    "StoreClient",
    "StoreReader",
    "Sweeper",
    "Swept",
    "Unfinished",
    "UnknownPrefix",
    "SlotRequest",
    "choose_victims",
    "holders_of",
    "shard_of",
    "shards_held_by",
]
