"""Kept work: KV blocks of prompts that will return."""

from fireflyward.upstreams import BlockRef

from ._keys import BlockNames
from ._store_http import HttpStore
from ._stores import (
    SHARDS,
    Done,
    Fenced,
    Listing,
    ListQuery,
    Reserved,
    SlotState,
    StoreAway,
    StoreChange,
    StoreClient,
    Unfinished,
    Wanted,
    shard_of,
)

__all__ = [
    "SHARDS",
    "BlockNames",
    "BlockRef",
    "Done",
    "Fenced",
    "HttpStore",
    "ListQuery",
    "Listing",
    "Reserved",
    "SlotState",
    "StoreAway",
    "StoreChange",
    "StoreClient",
    "Unfinished",
    "Wanted",
    "shard_of",
]
