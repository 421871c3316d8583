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
