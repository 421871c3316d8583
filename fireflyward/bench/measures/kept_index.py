"""Measures the index of kept blocks: memory, listing bytes, time to rebuild."""

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

_SMALL_PROMPTS = 4_000
_LARGE_PROMPTS = 8_000
_SHARED_BLOCKS = 16
_BLOCKS_PER_PROMPT = 40
_PROMPTS_PER_ACCOUNT = 17
# Largest share of the index at one of 35 nodes, from the measurement kept_shards.
_MAX_INDEX_SHARE = 0.09
_PROMPTS_PER_REGION = 320_000 / 3
_KEY_DIGITS = 32


def run() -> list[Figure]:
    """Return the costs per prompt, per entry and per node at the planned size."""
    small, large = _changes(_SMALL_PROMPTS), _changes(_LARGE_PROMPTS)
    prompts = _LARGE_PROMPTS - _SMALL_PROMPTS
    bytes_per_prompt = (_index_bytes(large) - _index_bytes(small)) / prompts
    entries_per_prompt = (len(large) - len(small)) / prompts
    listing_bytes_per_entry = len(msgspec.json.encode(large)) / len(large)
    seconds_per_entry = _rebuild_s(large) / len(large)
    prompts_per_node = _PROMPTS_PER_REGION * _MAX_INDEX_SHARE
    entries_per_node = prompts_per_node * entries_per_prompt
    megabytes_per_node = prompts_per_node * bytes_per_prompt / 1e6
    return [
        Figure("kept_index.bytes_per_prompt", bytes_per_prompt, "B"),
        Figure("kept_index.entries_per_prompt", entries_per_prompt, ""),
        Figure("kept_index.listing_bytes_per_entry", listing_bytes_per_entry, "B"),
        Figure("kept_index.rebuild_us_per_entry", seconds_per_entry * 1e6, "µs"),
        Figure("kept_index.design_node_mb", megabytes_per_node, "MB"),
        Figure(
            "kept_index.design_node_listing_mb",
            entries_per_node * listing_bytes_per_entry / 1e6,
            "MB",
        ),
        Figure(
            "kept_index.design_node_rebuild_s",
            entries_per_node * seconds_per_entry,
            "s",
        ),
    ]


def _changes(prompts: int) -> list[StoreChange]:
    """Return index entries of prompts; those of one account share their clauses."""
    changes = {}
    for prompt in range(prompts):
        account = prompt // _PROMPTS_PER_ACCOUNT
        shard = shard_of(_key("account", account, 0))
        for position in range(INDEX_STRIDE, _BLOCKS_PER_PROMPT + 1, INDEX_STRIDE):
            is_shared = position <= _SHARED_BLOCKS
            kind, number = ("account", account) if is_shared else ("prompt", prompt)
            key = _key(kind, number, position)
            changes[key] = StoreChange(key, position, True, shard)
    return list(changes.values())


def _key(kind: str, number: int, position: int) -> str:
    digest = hashlib.sha256(f"{kind}/{number}/{position}".encode()).hexdigest()
    return digest[:_KEY_DIGITS]


def _index_bytes(changes: list[StoreChange]) -> int:
    tracemalloc.start()
    index = PrefixIndex()
    index.apply("store-1", changes)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(index) == len(changes)
    return used


def _rebuild_s(changes: list[StoreChange]) -> float:
    """Return the seconds to decode a listing and to apply it to an index."""
    listing = msgspec.json.encode(changes)
    started_s = time.perf_counter()
    PrefixIndex().apply("store-1", msgspec.json.decode(listing, type=list[StoreChange]))
    return time.perf_counter() - started_s


BENCH = Bench("kept_index", run, is_count=False)
