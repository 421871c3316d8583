"""Work under way at replicas, as the nodes tell each other."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

# A node that is not heard of for longer is forgotten; it tells every 0.7 s.
_FORGET_MS = 2_000
# What of an aggregator's sum was not confirmed for this long is dropped; it
# confirms all of it every 0.5 s.
_SUM_FORGET_MS = 1_500
# How old this node's own part is in its aggregator's total: told within 50 ms, summed
# within 80 ms, half of both on average, and the way.
_OWN_LAG_MS = 70


@dataclass(frozen=True, slots=True)
class InFlightLoad:
    """Tokens under way at a replica.

    ``unread`` are of prompts without a first token yet: whoever comes next waits
    for them. ``held`` are of all ``requests`` there, which fill its memory.
    """

    unread: int = 0
    held: int = 0
    requests: int = 0

    def plus(self, other: "InFlightLoad", sign: int = 1) -> "InFlightLoad":
        """Return the sum with another, or the difference with ``sign`` -1."""
        return InFlightLoad(
            self.unread + sign * other.unread,
            self.held + sign * other.held,
            self.requests + sign * other.requests,
        )


_NOTHING = InFlightLoad()
Told = Mapping[int, InFlightLoad]


class _Sums:
    """What one aggregator told, by replica, each with when it was confirmed last."""

    __slots__ = ("_part_by_replica", "heard_ms")

    def __init__(self) -> None:
        self._part_by_replica: dict[int, tuple[int, InFlightLoad]] = {}
        self.heard_ms = 0

    def take(self, now_ms: int, told: Told) -> None:
        self.heard_ms = now_ms
        for replica, part in told.items():
            if part == _NOTHING:
                self._part_by_replica.pop(replica, None)
            else:
                self._part_by_replica[replica] = now_ms, part

    def at(self, now_ms: int, replica: int) -> InFlightLoad:
        told_ms, part = self._part_by_replica.get(replica, (now_ms, _NOTHING))
        return part if now_ms - told_ms < _SUM_FORGET_MS else _NOTHING

    def add_to(self, now_ms: int, total: dict[int, InFlightLoad]) -> None:
        for replica, (told_ms, part) in self._part_by_replica.items():
            if now_ms - told_ms < _SUM_FORGET_MS:
                total[replica] = total.get(replica, _NOTHING).plus(part)


class PeerLoad:
    """What the other nodes have under way, by replica; no I/O.

    Few nodes each tell all others what is theirs. Many tell one aggregator of
    their failure domain. Aggregators tell each other the sum of what they were told,
    and their neighbours the total of all sums: one number for each replica, however
    many nodes and domains there are.

    >>> peers = PeerLoad()
    >>> peers.take(0, "entry-2", {17: InFlightLoad(900, 1_200, 1)})
    >>> peers.at(500, 17).unread, peers.at(2_000, 17).unread
    (900, 0)
    """

    __slots__ = (
        "_by_node",
        "_followed",
        "_own_told",
        "_sums_by_aggregator",
        "_total_by_replica",
        "_totals_by_aggregator",
    )

    def __init__(self) -> None:
        self._by_node: dict[str, tuple[int, Told]] = {}
        self._total_by_replica: dict[int, InFlightLoad] = {}
        self._sums_by_aggregator: dict[str, _Sums] = {}
        self._totals_by_aggregator: dict[str, _Sums] = {}
        self._followed: str | None = None
        self._own_told: deque[tuple[int, Told]] = deque()

    @property
    def is_told(self) -> bool:
        """Tell whether some node tells this one what is its own."""
        return bool(self._by_node)

    def follow(self, aggregator: str | None) -> None:
        """Believe this aggregator's totals; with None add up what is told here."""
        self._followed = aggregator

    def take(self, now_ms: int, node: str, told: Told) -> None:
        """Replace what one node has under way."""
        self._remove(node)
        if told:
            self._by_node[node] = now_ms, told
            self._add(told, 1)

    def take_sum(self, now_ms: int, aggregator: str, told: Told) -> None:
        """Take what changed in an aggregator's sum."""
        self._sums_by_aggregator.setdefault(aggregator, _Sums()).take(now_ms, told)

    def take_total(self, now_ms: int, aggregator: str, told: Told) -> None:
        """Take what changed in an aggregator's total."""
        self._totals_by_aggregator.setdefault(aggregator, _Sums()).take(now_ms, told)

    def telling_sums(self, now_ms: int) -> list[str]:
        """Return the aggregators that told this node their sums of late."""
        return [
            name
            for name, sums in self._sums_by_aggregator.items()
            if now_ms - sums.heard_ms < _SUM_FORGET_MS
        ]

    def on_told_own(self, now_ms: int, told: Told) -> None:
        """Note what this node told its aggregator, whose total will hold it."""
        self._own_told.append((now_ms, told))

    def forget_silent(self, now_ms: int) -> None:
        """Forget nodes that are not heard any more."""
        silent = [
            node
            for node, (told_ms, _) in self._by_node.items()
            if now_ms - told_ms >= _FORGET_MS
        ]
        for node in silent:
            self._remove(node)

    def told(self, now_ms: int) -> dict[int, InFlightLoad]:
        """Return the sum of what nodes told this one directly."""
        self.forget_silent(now_ms)
        return dict(self._total_by_replica)

    def total(self, now_ms: int) -> dict[int, InFlightLoad]:
        """Return the sum of what nodes and other aggregators told this one."""
        total = self.told(now_ms)
        for sums in self._sums_by_aggregator.values():
            sums.add_to(now_ms, total)
        return total

    def at(self, now_ms: int, replica: int) -> InFlightLoad:
        """Return what other nodes have under way at a replica."""
        total = self._believed(now_ms, replica)
        own = self._own_in_total(now_ms).get(replica)
        if own is not None:
            total = total.plus(own, -1)
        return InFlightLoad(
            max(0, total.unread), max(0, total.held), max(0, total.requests)
        )

    def _believed(self, now_ms: int, replica: int) -> InFlightLoad:
        if self._followed is not None:
            totals = self._totals_by_aggregator.get(self._followed)
            return _NOTHING if totals is None else totals.at(now_ms, replica)
        self.forget_silent(now_ms)
        total = self._total_by_replica.get(replica, _NOTHING)
        for sums in self._sums_by_aggregator.values():
            total = total.plus(sums.at(now_ms, replica))
        return total

    def _own_in_total(self, now_ms: int) -> Told:
        """Return this node's own part of the total that it has heard by now."""
        told = self._own_told
        while len(told) > 1 and now_ms - told[1][0] >= _OWN_LAG_MS:
            told.popleft()
        if not told or now_ms - told[0][0] < _OWN_LAG_MS:
            return {}
        return told[0][1]

    def _remove(self, node: str) -> None:
        known = self._by_node.pop(node, None)
        if known is not None:
            self._add(known[1], -1)

    def _add(self, told: Told, sign: int) -> None:
        totals = self._total_by_replica
        for replica, more in told.items():
            total = totals.get(replica, _NOTHING).plus(more, sign)
            totals[replica] = total
            if total == _NOTHING:
                del totals[replica]
