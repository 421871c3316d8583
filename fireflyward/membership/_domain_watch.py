"""Detects unreachable failure domains, from direct contact and from other nodes."""

import functools
import hashlib
import itertools
from collections.abc import Iterable

from ._members import Member, MemberState
from ._messages import DomainAge, DomainDigest

_AGES_PER_DATAGRAM = 3
_DIGEST_BYTES = 7
_CACHED_HASHES = 1_024


class DomainWatch:
    """Records when each other failure domain was last in contact.

    Nodes exchange the age of the last contact instead of a time of day: every node
    has a monotonic clock of its own, and an age only grows while nodes pass it on,
    so a forwarded age never makes the last contact look more recent than it was.
    When a failure domain is cut off, no gossip about its members is needed: each
    node marks them unreachable, and reachable again when the domain comes back.
    """

    __slots__ = (
        "_domain_counter",
        "_last_contact_ms_by_domain",
        "_limit_ms",
        "_own_domain",
    )

    def __init__(self, own_domain: str, limit_ms: int) -> None:
        self._own_domain = own_domain
        self._limit_ms = limit_ms
        self._last_contact_ms_by_domain: dict[str, int] = {}
        self._domain_counter = itertools.count()

    def on_contact(self, now_ms: int, failure_domain: str, age_ms: int = 0) -> None:
        """Record that a failure domain was in contact ``age_ms`` ago."""
        if failure_domain == self._own_domain:
            return
        last_contact_ms = self._last_contact_ms_by_domain.get(
            failure_domain, now_ms - age_ms
        )
        self._last_contact_ms_by_domain[failure_domain] = max(
            last_contact_ms, now_ms - age_ms
        )

    def on_pause(self, paused_ms: int) -> None:
        """Extend the deadlines of all failure domains by a pause of this process."""
        for name in self._last_contact_ms_by_domain:
            self._last_contact_ms_by_domain[name] += paused_ms

    def unreachable(self, now_ms: int) -> frozenset[str]:
        """Return the failure domains whose last contact is too long ago."""
        return frozenset(
            name
            for name, last_contact_ms in self._last_contact_ms_by_domain.items()
            if now_ms - last_contact_ms > self._limit_ms
        )

    def names(self) -> list[str]:
        """Return the other failure domains, ordered by name."""
        return sorted(self._last_contact_ms_by_domain)

    def ages(self, now_ms: int) -> tuple[DomainAge, ...]:
        """Return the ages of a few failure domains, the next few at the next call."""
        names = self.names()
        count = min(_AGES_PER_DATAGRAM, len(names))
        picked = {names[next(self._domain_counter) % len(names)] for _ in range(count)}
        return tuple(
            DomainAge(name, max(0, now_ms - self._last_contact_ms_by_domain[name]))
            for name in sorted(picked)
        )


def digests(members: Iterable[Member]) -> tuple[DomainDigest, ...]:
    """Return a digest of each failure domain's members that are not dead.

    A suspected member is hashed like a live one, since a suspicion is temporary.
    """
    sum_by_domain: dict[str, int] = {}
    for member in members:
        if member.state is MemberState.DEAD:
            continue
        total = sum_by_domain.get(member.failure_domain, 0) ^ _hash(member)
        sum_by_domain[member.failure_domain] = total
    return tuple(
        DomainDigest(name, total) for name, total in sorted(sum_by_domain.items())
    )


def _hash(member: Member) -> int:
    leaving = member.state is MemberState.LEAVING
    return _hash_row(member.name, member.incarnation, leaving, member.bundle_number)


@functools.lru_cache(maxsize=_CACHED_HASHES)
def _hash_row(name: str, incarnation: int, leaving: bool, bundle_number: int) -> int:
    text = f"{name}/{incarnation}/{leaving}/{bundle_number}"
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest())
