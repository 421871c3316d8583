"""Which failure domains are heard, directly or by what others heard of them."""

import functools
import hashlib
import itertools
from collections.abc import Iterable

from ._members import Member, MemberState
from ._messages import DomainAge, DomainDigest

_AGES_IN_DATAGRAM = 3
_DIGEST_BYTES = 7
_CACHED_HASHES = 1_024


class DomainWatch:
    """When each other failure domain was last heard.

    Ages travel, not times of day: every node keeps its own monotonic time, and an
    age only grows while it is passed on, so hearsay never makes a domain look
    fresher than it is. A failure domain that is cut off therefore costs no news
    at all: its members just count as unheard, and as heard again on its return.
    """

    __slots__ = ("_heard_ms_by_domain", "_limit_ms", "_own_domain", "_turn")

    def __init__(self, own_domain: str, limit_ms: int) -> None:
        self._own_domain = own_domain
        self._limit_ms = limit_ms
        self._heard_ms_by_domain: dict[str, int] = {}
        self._turn = itertools.count()

    def on_heard(self, now_ms: int, failure_domain: str, age_ms: int = 0) -> None:
        """Note that a failure domain was heard ``age_ms`` ago."""
        if failure_domain == self._own_domain:
            return
        heard_ms = self._heard_ms_by_domain.get(failure_domain, now_ms - age_ms)
        self._heard_ms_by_domain[failure_domain] = max(heard_ms, now_ms - age_ms)

    def on_pause(self, paused_ms: int) -> None:
        """Do not blame others for the time in which this process stood still."""
        for name in self._heard_ms_by_domain:
            self._heard_ms_by_domain[name] += paused_ms

    def unheard(self, now_ms: int) -> frozenset[str]:
        """Return the failure domains that have been silent for too long."""
        return frozenset(
            name
            for name, heard_ms in self._heard_ms_by_domain.items()
            if now_ms - heard_ms > self._limit_ms
        )

    def names(self) -> list[str]:
        """Return the other failure domains, ordered by name."""
        return sorted(self._heard_ms_by_domain)

    def ages(self, now_ms: int) -> tuple[DomainAge, ...]:
        """Return the ages of a few failure domains, the next few next time."""
        names = self.names()
        count = min(_AGES_IN_DATAGRAM, len(names))
        picked = {names[next(self._turn) % len(names)] for _ in range(count)}
        return tuple(
            DomainAge(name, max(0, now_ms - self._heard_ms_by_domain[name]))
            for name in sorted(picked)
        )


def digests(members: Iterable[Member]) -> tuple[DomainDigest, ...]:
    """Return a digest of each failure domain's members that are not dead.

    A suspicion does not count, since it says nothing lasting of its member.
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
