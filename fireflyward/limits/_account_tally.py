"""The owner's tally of one account: how much of the limit each node may use."""

from dataclasses import dataclass

REPORT_PERIOD_MS = 2_000
MAX_TALLY_AGE_MS = 6_000
EVEN_SHARE = 0.25
# A node uses its part for MAX_TALLY_AGE_MS after it arrived. The rest is for the
# transit.
_PART_HELD_MS = MAX_TALLY_AGE_MS + REPORT_PERIOD_MS


def part_by_demand(limit: int, node_count: int, own: int, total: int) -> int:
    """Return a node's part of a limit by its demand and the demand of all nodes.

    >>> part_by_demand(100, 4, 30, 60)
    43
    """
    even = EVEN_SHARE * limit / node_count
    by_demand = (1.0 - EVEN_SHARE) * limit * own / max(own, total, 1)
    return int(even + by_demand)


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A node's report; ``limit`` is 0 if the node is too old to report it.

    ``demand`` is the number of requests in flight and of those rejected by the limit
    since the last report.
    """

    demand: int
    in_flight: int = 0
    limit: int = 0


@dataclass(frozen=True, slots=True)
class Allotment:
    """The demand of all nodes, and the part of the limit that a node may use."""

    total: int
    part: int


@dataclass(slots=True)
class _Holding:
    report: DemandReport
    reported_ms: int
    part: int = 0
    part_until_ms: int = 0

    def committed(self, now_ms: int) -> int:
        """Return how many requests the node may have in flight."""
        part = self.part if now_ms < self.part_until_ms else 0
        return max(self.report.in_flight, part)


class AccountTally:
    """Allots the parts of one account's limit to the nodes that report demand.

    Parts follow the demand, but no node gets more than what the others leave: the
    larger of what each has in flight and what it was allotted. Without this bound, a
    node whose demand rises would be allotted what a former holder still has in flight,
    and then the next node, and so on. A node's share of the even quarter is free of the
    bound, so that requests that last long at one node do not block the others.

    >>> tally = AccountTally()
    >>> tally.record(0, 2, "a", DemandReport(80, 80, 100)) is None
    True
    >>> tally.record(2_000, 2, "a", DemandReport(80, 80, 100))
    Allotment(total=80, part=87)
    >>> tally.record(2_000, 2, "b", DemandReport(900, 0, 100))
    Allotment(total=980, part=13)
    """

    __slots__ = ("_complete_from_ms", "_holding_by_node")

    def __init__(self) -> None:
        self._complete_from_ms = 0
        self._holding_by_node: dict[str, _Holding] = {}

    def record(
        self, now_ms: int, node_count: int, node: str, report: DemandReport
    ) -> Allotment | None:
        """Record a node's report; return its allotment, or None if none can be made.

        A total that does not yet include all nodes would give the first of them nearly
        the whole limit. So nothing is allotted within one period after the first
        report, or the first one that follows a pause; then all nodes have reported.
        """
        self.remove_stale(now_ms)
        if not self._has_recent_report(now_ms):
            self._complete_from_ms = now_ms + REPORT_PERIOD_MS
        holding = self._holding_by_node.setdefault(node, _Holding(report, now_ms))
        holding.report, holding.reported_ms = report, now_ms
        if now_ms < self._complete_from_ms:
            return None
        total = self._total(now_ms)
        holding.part = self._part(now_ms, node_count, node, total)
        holding.part_until_ms = now_ms + _PART_HELD_MS
        return Allotment(total, holding.part)

    def remove_stale(self, now_ms: int) -> bool:
        """Remove nodes without recent reports; return whether any node is left."""
        self._holding_by_node = {
            node: holding
            for node, holding in self._holding_by_node.items()
            if now_ms - holding.reported_ms <= _PART_HELD_MS
        }
        return bool(self._holding_by_node)

    def _has_recent_report(self, now_ms: int) -> bool:
        return any(
            now_ms - holding.reported_ms <= MAX_TALLY_AGE_MS
            for holding in self._holding_by_node.values()
        )

    def _total(self, now_ms: int) -> int:
        return sum(
            holding.report.demand
            for holding in self._holding_by_node.values()
            if now_ms - holding.reported_ms <= MAX_TALLY_AGE_MS
        )

    def _part(self, now_ms: int, node_count: int, node: str, total: int) -> int:
        report = self._holding_by_node[node].report
        limit = report.limit or self._largest_limit()
        wanted = part_by_demand(limit, node_count, report.demand, total)
        if not report.limit:
            # An older node uses the part that follows from the total.
            return wanted
        others = sum(
            holding.committed(now_ms)
            for other, holding in self._holding_by_node.items()
            if other != node
        )
        even = int(EVEN_SHARE * limit / node_count)
        return max(1, even, min(wanted, limit - others))

    def _largest_limit(self) -> int:
        return max(holding.report.limit for holding in self._holding_by_node.values())
