"""What the index of kept prompts costs: memory, listing bytes, rebuilding."""

import hashlib
import time
import tracemalloc

import msgspec

from fireflyward.bench import Bench, Figure
from fireflyward.kept import (
    INDEX_STRIDE,
    PrefixIndex,
    StoreChange,
    shard_of,
)

_SMALL = 4_000
_LARGE = 8_000
_SHARED_BLOCKS = 16
_BLOCKS = 40
_PROMPTS_PER_ACCOUNT = 17
# What bench kept_shards gives as the most that one of 35 nodes holds.
_MOST_HELD = 0.09
_PROMPTS_OF_A_REGION = 320_000 / 3
_KEY_DIGITS = 32


def run() -> list[Figure]:
    """Return slopes over the number of prompts, and what they come to by design."""
    small, large = _changes(_SMALL), _changes(_LARGE)
    prompts = _LARGE - _SMALL
    bytes_per_prompt = (_bytes_of(large) - _bytes_of(small)) / prompts
    entries_per_prompt = (len(large) - len(small)) / prompts
    listed = len(msgspec.json.encode(large)) / len(large)
    seconds_per_entry = _rebuild_s(large) / len(large)
    prompts_here = _PROMPTS_OF_A_REGION * _MOST_HELD
    entries_here = prompts_here * entries_per_prompt
    megabytes_here = prompts_here * bytes_per_prompt / 1e6
    return [
        Figure("kept_index.bytes_per_prompt", bytes_per_prompt, "B"),
        Figure("kept_index.entries_per_prompt", entries_per_prompt, ""),
        Figure("kept_index.listing_bytes_per_entry", listed, "B"),
        Figure("kept_index.rebuild_us_per_entry", seconds_per_entry * 1e6, "µs"),
        Figure("kept_index.design_node_mb", megabytes_here, "MB"),
        Figure("kept_index.design_node_listing_mb", entries_here * listed / 1e6, "MB"),
        Figure(
            "kept_index.design_node_rebuild_s", entries_here * seconds_per_entry, "s"
        ),
    ]


def _changes(prompts: int) -> list[StoreChange]:
    """Return the entries of prompts that share clauses within their account."""
    changes = {}
    for prompt in range(prompts):
        account = prompt // _PROMPTS_PER_ACCOUNT
        shard = shard_of(_key("account", account, 0))
        for position in range(INDEX_STRIDE, _BLOCKS + 1, INDEX_STRIDE):
            is_shared = position <= _SHARED_BLOCKS
            kind, number = ("account", account) if is_shared else ("prompt", prompt)
            key = _key(kind, number, position)
            changes[key] = StoreChange(key, position, True, shard)
    return list(changes.values())


def _key(kind: str, number: int, position: int) -> str:
    digest = hashlib.sha256(f"{kind}/{number}/{position}".encode()).hexdigest()
    return digest[:_KEY_DIGITS]


def _bytes_of(changes: list[StoreChange]) -> int:
    tracemalloc.start()
    index = PrefixIndex()
    index.apply("store-1", changes)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(index) == len(changes)
    return used


def _rebuild_s(changes: list[StoreChange]) -> float:
    """Return the time to decode a listing and to take it into an index."""
    listing = msgspec.json.encode(changes)
    began_s = time.perf_counter()
    PrefixIndex().apply("store-1", msgspec.json.decode(listing, type=list[StoreChange]))
    return time.perf_counter() - began_s


BENCH = Bench("kept_index", run, is_count=False)
