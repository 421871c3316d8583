"""Kept work: KV blocks of prompts that will return."""

from fireflyward.upstreams import BlockRef

from ._export import Exported, Exporter, ExportPlan, ExportStep, NotExported
from ._import import ImportAsk, Imported, Importer, ImportLimit, ImportStep
from ._keys import BlockNames
from ._room import choose_victims
from ._store_http import HttpStore
from ._stores import (
    SHARDS,
    Cold,
    Done,
    Fenced,
    Listing,
    ListQuery,
    Reserved,
    Room,
    SlotState,
    StoreAway,
    StoreChange,
    StoreClient,
    Unfinished,
    Wanted,
    shard_of,
)
from ._sweep import FreeStep, HeldLease, NotSwept, Sweeper, Swept

__all__ = [
    "SHARDS",
    "BlockNames",
    "BlockRef",
    "Cold",
    "Done",
    "ExportPlan",
    "ExportStep",
    "Exported",
    "Exporter",
    "Fenced",
    "FreeStep",
    "HeldLease",
    "HttpStore",
    "ImportAsk",
    "ImportLimit",
    "ImportStep",
    "Imported",
    "Importer",
    "ListQuery",
    "Listing",
    "NotExported",
    "NotSwept",
    "Reserved",
    "Room",
    "SlotState",
    "StoreAway",
    "StoreChange",
    "StoreClient",
    "Sweeper",
    "Swept",
    "Unfinished",
    "Wanted",
    "choose_victims",
    "shard_of",
]
