"""In-flight load of the replicas, as the nodes report it to each other."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

# A node's load is dropped when it sends no report for this long; it sends one at least
# every 0.7 s while it has any load.
_NODE_EXPIRY_MS = 2_000
# An entry of an aggregator's sum is dropped when it was not resent for this long; the
# aggregator resends all entries every 0.5 s.
_SUM_EXPIRY_MS = 1_500
# Age of this node's own load in its aggregator's total: the node reports within 50 ms,
# the aggregator sums within 80 ms, half of both on average, plus the network latency.
_OWN_LAG_MS = 70


@dataclass(frozen=True, slots=True)
class InFlightLoad:
    """Tokens and requests in flight at a replica.

    ``unprefilled`` counts the tokens of prompts that have no first token yet: a new
    request waits for them. ``resident`` counts the tokens that all ``requests`` there
    occupy in KV memory.
    """

    unprefilled: int = 0
    resident: int = 0
    requests: int = 0

    def plus(self, other: "InFlightLoad", sign: int = 1) -> "InFlightLoad":
        """Return the sum with another load, or the difference with ``sign`` -1."""
        return InFlightLoad(
            self.unprefilled + sign * other.unprefilled,
            self.resident + sign * other.resident,
            self.requests + sign * other.requests,
        )


_NO_LOAD = InFlightLoad()
# By the incarnation ids of replicas.
LoadByReplica = Mapping[int, InFlightLoad]


class _AggregatorSums:
    """The sums that one aggregator published, by replica, with their arrival times."""

    __slots__ = ("_part_by_replica", "last_received_ms")

    def __init__(self) -> None:
        self._part_by_replica: dict[int, tuple[int, InFlightLoad]] = {}
        self.last_received_ms = 0

    def update(self, now_ms: int, loads: LoadByReplica) -> None:
        self.last_received_ms = now_ms
        for replica, part in loads.items():
            if part == _NO_LOAD:
                self._part_by_replica.pop(replica, None)
            else:
                self._part_by_replica[replica] = now_ms, part

    def at(self, now_ms: int, replica: int) -> InFlightLoad:
        received_ms, part = self._part_by_replica.get(replica, (now_ms, _NO_LOAD))
        return part if now_ms - received_ms < _SUM_EXPIRY_MS else _NO_LOAD

    def add_to(self, now_ms: int, total: dict[int, InFlightLoad]) -> None:
        for replica, (received_ms, part) in self._part_by_replica.items():
            if now_ms - received_ms < _SUM_EXPIRY_MS:
                total[replica] = total.get(replica, _NO_LOAD).plus(part)


class PeerLoad:
    """In-flight load of the other nodes, by replica; no I/O.

    A few nodes report their load to all others. Many nodes report it to the aggregator
    of their failure domain. The aggregators send each other the sum of the reports that
    they received, and send the nodes of their own domain the total of all sums. A total
    has one entry for each replica, however many nodes and domains there are.

    >>> peers = PeerLoad()
    >>> peers.on_load_report(0, "entry-2", {17: InFlightLoad(900, 1_200, 1)})
    >>> peers.at(500, 17).unprefilled, peers.at(2_000, 17).unprefilled
    (900, 0)
    """

    __slots__ = (
        "_followed",
        "_own_reports",
        "_report_by_node",
        "_sums_by_aggregator",
        "_total_by_replica",
        "_totals_by_aggregator",
    )

    def __init__(self) -> None:
        self._report_by_node: dict[str, tuple[int, LoadByReplica]] = {}
        self._total_by_replica: dict[int, InFlightLoad] = {}
        self._sums_by_aggregator: dict[str, _AggregatorSums] = {}
        self._totals_by_aggregator: dict[str, _AggregatorSums] = {}
        self._followed: str | None = None
        self._own_reports: deque[tuple[int, LoadByReplica]] = deque()

    @property
    def has_reports(self) -> bool:
        """Return whether some node reports its own load to this one."""
        return bool(self._report_by_node)

    def follow(self, aggregator: str | None) -> None:
        """Use this aggregator's totals; with None, add up the received reports."""
        self._followed = aggregator

    def on_load_report(self, now_ms: int, node: str, loads: LoadByReplica) -> None:
        """Replace the load that one node reported."""
        self._remove(node)
        if loads:
            self._report_by_node[node] = now_ms, loads
            self._add(loads, 1)

    def on_domain_sum(self, now_ms: int, aggregator: str, loads: LoadByReplica) -> None:
        """Update the changed entries of an aggregator's sum."""
        self._sums_by_aggregator.setdefault(aggregator, _AggregatorSums()).update(
            now_ms, loads
        )

    def on_total(self, now_ms: int, aggregator: str, loads: LoadByReplica) -> None:
        """Update the changed entries of an aggregator's total."""
        self._totals_by_aggregator.setdefault(aggregator, _AggregatorSums()).update(
            now_ms, loads
        )

    def sum_senders(self, now_ms: int) -> list[str]:
        """Return the aggregators that recently sent this node their sums."""
        return [
            name
            for name, sums in self._sums_by_aggregator.items()
            if now_ms - sums.last_received_ms < _SUM_EXPIRY_MS
        ]

    def on_own_report(self, now_ms: int, loads: LoadByReplica) -> None:
        """Record what this node reports to its aggregator, to subtract it later."""
        self._own_reports.append((now_ms, loads))

    def forget_silent(self, now_ms: int) -> None:
        """Drop the load of nodes from which no reports arrive any more."""
        silent = [
            node
            for node, (received_ms, _) in self._report_by_node.items()
            if now_ms - received_ms >= _NODE_EXPIRY_MS
        ]
        for node in silent:
            self._remove(node)

    def reported(self, now_ms: int) -> dict[int, InFlightLoad]:
        """Return the sum of the loads that nodes reported to this one directly."""
        self.forget_silent(now_ms)
        return dict(self._total_by_replica)

    def total(self, now_ms: int) -> dict[int, InFlightLoad]:
        """Return the sum of the nodes' reports and of the other aggregators' sums."""
        total = self.reported(now_ms)
        for sums in self._sums_by_aggregator.values():
            sums.add_to(now_ms, total)
        return total

    def at(self, now_ms: int, replica: int) -> InFlightLoad:
        """Return the load of all other nodes at a replica."""
        total = self._received_total(now_ms, replica)
        own = self._own_in_total(now_ms).get(replica)
        if own is not None:
            total = total.plus(own, -1)
        return InFlightLoad(
            max(0, total.unprefilled), max(0, total.resident), max(0, total.requests)
        )

    def _received_total(self, now_ms: int, replica: int) -> InFlightLoad:
        if self._followed is not None:
            totals = self._totals_by_aggregator.get(self._followed)
            return _NO_LOAD if totals is None else totals.at(now_ms, replica)
        self.forget_silent(now_ms)
        total = self._total_by_replica.get(replica, _NO_LOAD)
        for sums in self._sums_by_aggregator.values():
            total = total.plus(sums.at(now_ms, replica))
        return total

    def _own_in_total(self, now_ms: int) -> LoadByReplica:
        """Return the own load that the last received total probably contains."""
        reports = self._own_reports
        while len(reports) > 1 and now_ms - reports[1][0] >= _OWN_LAG_MS:
            reports.popleft()
        if not reports or now_ms - reports[0][0] < _OWN_LAG_MS:
            return {}
        return reports[0][1]

    def _remove(self, node: str) -> None:
        report = self._report_by_node.pop(node, None)
        if report is not None:
            self._add(report[1], -1)

    def _add(self, loads: LoadByReplica, sign: int) -> None:
        totals = self._total_by_replica
        for replica, load in loads.items():
            total = totals.get(replica, _NO_LOAD).plus(load, sign)
            totals[replica] = total
            if total == _NO_LOAD:
                del totals[replica]
