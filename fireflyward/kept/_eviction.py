"""Chooses the published blocks to evict from a nearly full store."""

from collections import Counter

from fireflyward.upstreams import BlockRef

from ._stores import ColdBlock, StoreUsage

_MAX_OWNER_SHARE = 0.35


def choose_victims(
    usage: StoreUsage, coldest: tuple[ColdBlock, ...]
) -> tuple[BlockRef, ...]:
    """Return the blocks to free so that the store is no longer nearly full.

    Blocks of an owner that has more than its share are evicted first, so that one
    large account cannot evict the blocks of all others. Then follow the blocks with
    the fewest reads in relation to their idle time. Of equal blocks, the later one in
    a prompt is evicted first, since the blocks after an evicted one are useless.
    """
    to_free = usage.slots_to_free()
    used = Counter(usage.used_by_owner)
    max_per_owner = int(_MAX_OWNER_SHARE * usage.capacity)
    victims: list[BlockRef] = []
    other_candidates: list[ColdBlock] = []
    for candidate in sorted(coldest, key=_retention_value):
        if len(victims) >= to_free:
            break
        if used[candidate.owner] <= max_per_owner:
            other_candidates.append(candidate)
            continue
        used[candidate.owner] -= 1
        victims.append(candidate.ref)
    victims.extend(
        candidate.ref for candidate in other_candidates[: to_free - len(victims)]
    )
    return tuple(victims)


def _retention_value(candidate: ColdBlock) -> tuple[float, int]:
    return (candidate.reads + 1) / (candidate.idle_ms + 1), -candidate.ref.position
