"""Which published blocks give way when a store fills."""

from collections import Counter

from fireflyward.upstreams import BlockRef

from ._stores import ColdBlock, StoreUsage

_OWNER_SHARE = 0.35


def choose_victims(
    room: StoreUsage, coldest: tuple[ColdBlock, ...]
) -> tuple[BlockRef, ...]:
    """Return what to free so that the store is no longer nearly full.

    Blocks of an owner that holds more than its share go first, so that one large
    account cannot wash out the rest; then those that were read least for their idle
    time. Of equal ones the later of a prompt goes first, since the blocks behind a
    freed one are of no use.
    """
    to_free = room.above_target()
    used = Counter(room.used_by_owner)
    most_of_one = int(_OWNER_SHARE * room.capacity)
    victims: list[BlockRef] = []
    waiting: list[ColdBlock] = []
    for cold in sorted(coldest, key=_worth):
        if len(victims) >= to_free:
            break
        if used[cold.owner] <= most_of_one:
            waiting.append(cold)
            continue
        used[cold.owner] -= 1
        victims.append(cold.ref)
    victims.extend(cold.ref for cold in waiting[: to_free - len(victims)])
    return tuple(victims)


def _worth(cold: ColdBlock) -> tuple[float, int]:
    return (cold.reads + 1) / (cold.idle_ms + 1), -cold.ref.position
