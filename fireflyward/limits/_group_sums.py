"""Sums of what callers requested and got, by service and group; they decay."""

import enum
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Bursts last some 3 s and callers return after 0.2 to 4 s. With a longer half-life the
# rule would act on a burst that is over, with a shorter one the sums of a small group
# would contain too few requests.
HALF_LIFE_MS = 2_000
# The sum of a steady rate of one per ms.
WINDOW_MS = HALF_LIFE_MS / 0.693
# Smaller sums are dropped; an entry of one request lasts some 9 s.
_MIN_SUM = 0.05
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


@dataclass(frozen=True, slots=True)
class GroupSum:
    """Decayed sums of one group.

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
        """Return the share of the callers that were admitted; 1 if there are none."""
        return min(1.0, self.admitted / self.arrived) if self.arrived > 0 else 1.0

    def plus(self, other: "GroupSum") -> "GroupSum":
        return GroupSum(
            self.arrived + other.arrived,
            self.admitted + other.admitted,
            self.rejected + other.rejected,
            self.returned + other.returned,
            max(self.weight, other.weight),
        )

    def after(self, age_ms: float) -> "GroupSum":
        """Return the sum decayed by an age."""
        left = 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS)
        return GroupSum(
            self.arrived * left,
            self.admitted * left,
            self.rejected * left,
            self.returned * left,
            self.weight,
        )

    @property
    def is_negligible(self) -> bool:
        return max(self.arrived, self.admitted, self.rejected, self.returned) < _MIN_SUM


NO_SUM = GroupSum()
SumByGroup = Mapping[GroupKey, GroupSum]


def add_sums(parts: Iterable[SumByGroup]) -> dict[GroupKey, GroupSum]:
    """Return the sum of several sums, by group."""
    total: dict[GroupKey, GroupSum] = {}
    for part in parts:
        for key, item in part.items():
            total[key] = total[key].plus(item) if key in total else item
    return total


def decayed(sums: SumByGroup, age_ms: float) -> dict[GroupKey, GroupSum]:
    """Return sums decayed by an age, without the negligible ones."""
    items = ((key, item.after(age_ms)) for key, item in sums.items())
    return {key: item for key, item in items if not item.is_negligible}


def name_hash(name: str) -> int:
    """Return the 32-bit number by which messages refer to a name."""
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big", signed=True)


class LocalSums:
    """The sums of this node's own requests, by service id; no I/O.

    >>> sums = LocalSums()
    >>> sums.add(0, 7, {(GroupKind.SERVICE, 0): GroupSum(arrived=1.0)})
    >>> sums.of_service(2_000, 7)[GroupKind.SERVICE, 0].arrived
    0.5
    """

    __slots__ = ("_sums_by_service",)

    def __init__(self) -> None:
        self._sums_by_service: dict[int, tuple[int, dict[GroupKey, GroupSum]]] = {}

    def services(self) -> list[int]:
        return list(self._sums_by_service)

    def add(self, now_ms: int, service: int, change: SumByGroup) -> None:
        """Add to the sums of a service; differences may be negative."""
        total = add_sums((self.of_service(now_ms, service), change))
        self._sums_by_service[service] = now_ms, total

    def of_service(self, now_ms: int, service: int) -> dict[GroupKey, GroupSum]:
        """Return the sums of a service, decayed until now."""
        at_ms, sums = self._sums_by_service.get(service, (now_ms, {}))
        return decayed(sums, now_ms - at_ms) if now_ms != at_ms else sums
