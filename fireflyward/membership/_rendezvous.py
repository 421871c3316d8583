"""Rendezvous hashing: every node computes the owner of a key without coordination."""

import hashlib
import heapq
from collections.abc import Iterable

from ._members import Member

_WEIGHT_BYTES = 8


def owner_of(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that owns ``key``, or None if there are no members.

    A key changes its owner only when the owner leaves or a member with a higher
    weight for this key joins: when one of n members leaves, 1/n of the keys move.
    """
    owners = owners_of(key, members, 1)
    return owners[0] if owners else None


def owners_of(key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    """Return up to ``count`` members for ``key``, the owner first.

    When the owner leaves, the second becomes the owner, so a caller can prepare it
    as a backup in advance. A call computes one hash for each member.
    """
    return tuple(
        heapq.nlargest(count, members, key=lambda member: _weight(key, member))
    )


def _weight(key: str, member: Member) -> tuple[bytes, str]:
    hashed = hashlib.blake2b(
        key.encode(), key=member.name.encode()[:64], digest_size=_WEIGHT_BYTES
    )
    return hashed.digest(), member.name


class SteadyMembers:
    """Keeps a member that left for a grace time, in which most members come back.

    A planned restart takes seconds, and there are 110 restarts a day. Without the
    grace time each of them would move the member's keys to other members and back.
    Kafka Streams, for the same reason, does not leave its group when it is closed
    and waits for the session to expire. This class suits work that can wait for the
    grace time or has a second owner; not work that must be done immediately.

    >>> one = Member("entry-1", ("127.0.0.1", 1), "d1", "r", 7)
    >>> steady = SteadyMembers(grace_ms=30_000)
    >>> [len(steady.update(at, live)) for at, live in ((0, [one]), (9, []))]
    [1, 1]
    """

    __slots__ = ("_grace_ms", "_last_live_by_name")

    def __init__(self, *, grace_ms: int) -> None:
        self._grace_ms = grace_ms
        self._last_live_by_name: dict[str, tuple[int, Member]] = {}

    def update(self, now_ms: int, live: Iterable[Member]) -> tuple[Member, ...]:
        """Record the live members; return them and those live within the grace time."""
        for member in live:
            self._last_live_by_name[member.name] = now_ms, member
        self._last_live_by_name = {
            name: (last_live_ms, member)
            for name, (last_live_ms, member) in self._last_live_by_name.items()
            if now_ms - last_live_ms < self._grace_ms
        }
        return tuple(member for _, member in self._last_live_by_name.values())
