"""Work under way at replicas, as the nodes tell each other."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

# A node that is not heard of for longer is forgotten; it tells every 0.7 s.
_FORGET_MS = 2_000
# What of an aggregator's sum was not confirmed for this long is dropped; it
# confirms all of it every 0.5 s.
_SUM_FORGET_MS = 1_500
# How old this node's own part is in its aggregator's sum: told within 25 ms, summed
# within 40 ms, half of both on average, and the way.
_OWN_LAG_MS = 35


@dataclass(frozen=True, slots=True)
class UnderWay:
    """Tokens under way at a replica.

    ``unread`` are of prompts without a first token yet: whoever comes next waits
    for them. ``held`` are of all ``requests`` there, which fill its memory.
    """

    unread: int = 0
    held: int = 0
    requests: int = 0

    def plus(self, other: "UnderWay", sign: int = 1) -> "UnderWay":
        """Return the sum with another, or the difference with ``sign`` -1."""
        return UnderWay(
            self.unread + sign * other.unread,
            self.held + sign * other.held,
            self.requests + sign * other.requests,
        )


_NOTHING = UnderWay()
Told = Mapping[str, UnderWay]


class PeerUnderWay:
    """What the other nodes have under way, by replica; no I/O.

    Few nodes each tell all others what is theirs. Many tell one aggregator of
    their failure domain, and hear the sums of all aggregators.

    >>> peers = PeerUnderWay()
    >>> peers.take(0, "entry-2", {"r1": UnderWay(900, 1_200, 1)})
    >>> peers.at(500, "r1").unread, peers.at(2_000, "r1").unread
    (900, 0)
    """

    __slots__ = ("_by_node", "_own_told", "_sum_by_aggregator", "_total_by_incarnation")

    def __init__(self) -> None:
        self._by_node: dict[str, tuple[int, Told]] = {}
        self._total_by_incarnation: dict[str, UnderWay] = {}
        self._sum_by_aggregator: dict[str, dict[str, tuple[int, UnderWay]]] = {}
        self._own_told: deque[tuple[int, Told]] = deque()

    @property
    def is_told(self) -> bool:
        """Tell whether some node tells this one what is its own."""
        return bool(self._by_node)

    def take(self, now_ms: int, node: str, told: Told) -> None:
        """Replace what one node has under way."""
        self._remove(node)
        if told:
            self._by_node[node] = now_ms, told
            self._add(told, 1)

    def take_sum(self, now_ms: int, aggregator: str, told: Told) -> None:
        """Take what changed in an aggregator's sum."""
        known = self._sum_by_aggregator.setdefault(aggregator, {})
        for incarnation, total in told.items():
            if total == _NOTHING:
                known.pop(incarnation, None)
            else:
                known[incarnation] = now_ms, total

    def on_told_own(self, now_ms: int, told: Told) -> None:
        """Note what this node told its aggregator, whose sum will hold it."""
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

    def told(self, now_ms: int) -> dict[str, UnderWay]:
        """Return the sum of what nodes told this one directly."""
        self.forget_silent(now_ms)
        return dict(self._total_by_incarnation)

    def at(self, now_ms: int, incarnation: str) -> UnderWay:
        """Return what other nodes have under way at a replica."""
        self.forget_silent(now_ms)
        total = self._total_by_incarnation.get(incarnation, _NOTHING)
        for known in self._sum_by_aggregator.values():
            told_ms, part = known.get(incarnation, (now_ms, _NOTHING))
            if now_ms - told_ms < _SUM_FORGET_MS:
                total = total.plus(part)
        own = self._own_in_sums(now_ms).get(incarnation)
        if own is not None:
            total = total.plus(own, -1)
        return UnderWay(
            max(0, total.unread), max(0, total.held), max(0, total.requests)
        )

    def _own_in_sums(self, now_ms: int) -> Told:
        """Return this node's own part of the sums that it has heard by now."""
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
        totals = self._total_by_incarnation
        for incarnation, more in told.items():
            total = totals.get(incarnation, _NOTHING).plus(more, sign)
            totals[incarnation] = total
            if total == _NOTHING:
                del totals[incarnation]
