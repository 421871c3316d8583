"""The number of a prompt's part in messages between nodes."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from fireflyward.platform import PromptPart

_KEY_BYTES = 8
_MAX_CACHED = 8_192


def part_keys(service: str, model: str, parts: Iterable[PromptPart]) -> tuple[int, ...]:
    """Return the keys of a prompt's parts, without the last one.

    The last part belongs to the request alone. A part may crash the replicas of one
    service or model only, so it has a key for each.
    """
    shared = tuple(parts)[:-1]
    return tuple(_part_key(service, model, part.part_id) for part in shared)


@lru_cache(_MAX_CACHED)
def _part_key(service: str, model: str, part_id: str) -> int:
    data = f"{service}\0{model}\0{part_id}".encode()
    digest = hashlib.blake2b(data, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big", signed=True)
