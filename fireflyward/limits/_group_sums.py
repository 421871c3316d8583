"""Sums of what callers requested and got, by service and group; they decay."""

import enum
import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Bursts last some 3 s and callers return after 0.2 to 4 s. With a longer half-life the
# rule would act on a burst that is over, with a shorter one the sums of a small group
# would contain too few requests.
HALF_LIFE_MS = 2_000
# The sum of a steady rate of one per ms.
WINDOW_MS = HALF_LIFE_MS / 0.693
# Smaller sums are dropped; an entry of one request lasts some 9 s.
_MIN_SUM = 0.05
# How often local sums are stored anew. Meanwhile they grow by a factor of 32.
_RESTART_MS = 10_000
_HASH_BYTES = 4


class GroupKind(enum.IntEnum):
    """What a group consists of.

    ``SERVICE`` and ``COST`` count all requests of the service, by number and by cost.
    ``LATE`` counts those that the base estimate rejected or expected to be late.
    ``ACCOUNT`` is by cost, the others by number.
    """

    SERVICE = 0
    COST = 1
    LATE = 2
    PRIORITY = 3
    SIZE = 4
    ACCOUNT = 5


# A kind and a name: a priority, or the hash of an account or of a route and size group.
GroupKey = tuple[GroupKind, int]
_PRESSURE_KEYS: tuple[GroupKey, ...] = ((GroupKind.SERVICE, 0), (GroupKind.LATE, 0))


class GroupSum(NamedTuple):
    """Decayed sums of one group; a tuple, because aggregators create many per second.

    ``arrived`` counts callers at their first arrival and ``returned`` the retries of
    rejected callers, so ``admitted / arrived`` is the share of the callers served.
    ``weight`` is that of the account.
    """

    arrived: float = 0.0
    admitted: float = 0.0
    rejected: float = 0.0
    returned: float = 0.0
    weight: float = 1.0

    @property
    def served_share(self) -> float:
        """Return the share of the callers that were admitted; 1 if there are none.

        ``admitted`` is below 0 if replicas rejected requests some time after their
        admission, which has decayed meanwhile.
        """
        if self.arrived <= 0:
            return 1.0
        return min(1.0, max(0.0, self.admitted / self.arrived))

    def plus(self, other: "GroupSum") -> "GroupSum":
        return GroupSum(
            self.arrived + other.arrived,
            self.admitted + other.admitted,
            self.rejected + other.rejected,
            self.returned + other.returned,
            max(self.weight, other.weight),
        )

    def times(self, factor: float) -> "GroupSum":
        """Return the sum multiplied by a factor; the weight stays."""
        return GroupSum(
            self.arrived * factor,
            self.admitted * factor,
            self.rejected * factor,
            self.returned * factor,
            self.weight,
        )


NO_SUM = GroupSum()
# ``plus`` keeps the larger weight, so that of nothing is 0.
_NONE_YET = GroupSum(weight=0.0)
SumByGroup = Mapping[GroupKey, GroupSum]


def add_sums(parts: Iterable[tuple[float, SumByGroup]]) -> dict[GroupKey, GroupSum]:
    """Return the sum of several sums by group, each decayed by its age.

    An aggregator adds up those of all nodes of its domain, so this avoids an object
    for each intermediate result.
    """
    rows: dict[GroupKey, list[float]] = {}
    for age_ms, part in parts:
        left = remaining_share(age_ms)
        for key, item in part.items():
            row = rows.get(key)
            if row is None:
                row = rows[key] = [0.0, 0.0, 0.0, 0.0, item.weight]
            row[0] += left * item.arrived
            row[1] += left * item.admitted
            row[2] += left * item.rejected
            row[3] += left * item.returned
            row[4] = max(row[4], item.weight)
    return {key: GroupSum(*row) for key, row in rows.items() if max(row[:4]) > _MIN_SUM}


def remaining_share(age_ms: float) -> float:
    """Return which share of a sum is left after this time."""
    return 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS)


def name_hash(name: str) -> int:
    """Return the 32-bit number by which messages refer to a name."""
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big", signed=True)


class LocalSums:
    """The sums of this node's own requests, by service id; no I/O.

    The stored sums grow instead of decaying: what is added at a time is multiplied by
    2 for each half-life since ``_start_ms``, so a request changes only its own groups.

    >>> sums = LocalSums()
    >>> sums.add(0, 7, {(GroupKind.SERVICE, 0): GroupSum(arrived=1.0)})
    >>> sums.of_service(2_000, 7)[GroupKind.SERVICE, 0].arrived
    0.5
    """

    __slots__ = ("_start_ms", "_sums_by_service")

    def __init__(self) -> None:
        self._start_ms = 0
        self._sums_by_service: dict[int, dict[GroupKey, GroupSum]] = {}

    def services(self) -> list[int]:
        return list(self._sums_by_service)

    def add(self, now_ms: int, service: int, change: SumByGroup) -> None:
        """Add to the sums of a service; differences may be negative."""
        if now_ms - self._start_ms > _RESTART_MS:
            self._restart(now_ms)
        growth = 1.0 / remaining_share(now_ms - self._start_ms)
        sums = self._sums_by_service.setdefault(service, {})
        for key, item in change.items():
            sums[key] = sums.get(key, _NONE_YET).plus(item.times(growth))

    def of_service(self, now_ms: int, service: int) -> dict[GroupKey, GroupSum]:
        """Return the sums of a service, decayed until now."""
        sums = self._sums_by_service.get(service, {})
        return add_sums(((now_ms - self._start_ms, sums),))

    def pressure_sums(self, now_ms: int, service: int) -> dict[GroupKey, GroupSum]:
        """Return only the sums that show whether a service is short.

        Decaying the sums of thousands of accounts takes several ms.
        """
        sums = self._sums_by_service.get(service, {})
        part = {key: sums[key] for key in _PRESSURE_KEYS if key in sums}
        return add_sums(((now_ms - self._start_ms, part),))

    def _restart(self, now_ms: int) -> None:
        """Store the sums as of now, which also drops the negligible ones."""
        current = {
            service: self.of_service(now_ms, service)
            for service in self._sums_by_service
        }
        self._start_ms = now_ms
        self._sums_by_service = {name: sums for name, sums in current.items() if sums}
