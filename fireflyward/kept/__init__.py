"""Kept work: KV blocks of prompts that will return."""

from fireflyward.upstreams import BlockRef

from ._keys import BlockNames
from ._stores import (
    Done,
    Fenced,
    Listing,
    Reserved,
    SlotState,
    StoreAway,
    StoreChange,
    StoreClient,
    Unfinished,
    Wanted,
)

__all__ = [
    "BlockNames",
    "BlockRef",
    "Done",
    "Fenced",
    "Listing",
    "Reserved",
    "SlotState",
    "StoreAway",
    "StoreChange",
    "StoreClient",
    "Unfinished",
    "Wanted",
]
