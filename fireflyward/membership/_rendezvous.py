"""Rendezvous hashing: every node works out the owner of a key alone."""

import hashlib
import heapq
from collections.abc import Iterable

from ._members import Member

_WEIGHT_BYTES = 8


def owner_of(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that owns ``key``, or None if there are no members.

    A key changes its owner only when the owner itself goes or a member comes that
    weighs more for it, so one of n members going moves 1/n of the keys.
    """
    owners = owners_of(key, members, 1)
    return owners[0] if owners else None


def owners_of(key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    """Return up to ``count`` members for ``key``, the owner first.

    When the owner goes, the second becomes the owner: a backup that already has
    what it needs can be chosen before it is needed. Costs one hash a member.
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
    """Keeps a member that went for a grace time, since most come back by then.

    A planned restart takes seconds. Moving its share of keys away and back moves
    it twice for nothing, and with 110 restarts a day somebody always moves.
    Kafka Streams, for the same reason, does not leave its group when it is closed
    and waits for the session to expire. For work that can wait for the grace time
    or has a second owner; not for work that must be done now.

    >>> one = Member("entry-1", ("127.0.0.1", 1), "d1", "r", 7)
    >>> steady = SteadyMembers(grace_ms=30_000)
    >>> [len(steady.update(at, live)) for at, live in ((0, [one]), (9, []))]
    [1, 1]
    """

    __slots__ = ("_grace_ms", "_seen_by_name")

    def __init__(self, *, grace_ms: int) -> None:
        self._grace_ms = grace_ms
        self._seen_by_name: dict[str, tuple[int, Member]] = {}

    def update(self, now_ms: int, live: Iterable[Member]) -> tuple[Member, ...]:
        """Take who lives now; return them and who lived until a moment ago."""
        for member in live:
            self._seen_by_name[member.name] = now_ms, member
        self._seen_by_name = {
            name: (seen_ms, member)
            for name, (seen_ms, member) in self._seen_by_name.items()
            if now_ms - seen_ms < self._grace_ms
        }
        return tuple(member for _, member in self._seen_by_name.values())
