"""Divides an account's limit among the nodes of a failure domain."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ._limits_structs import Demand, Tally

_REPORT_PERIOD_MS = 2_000
_MAX_TALLY_AGE_MS = 6_000
_EVEN_SHARE = 0.25
_MAX_ACCOUNTS_PER_PERIOD = 100


@dataclass(frozen=True, slots=True)
class SendDemand:
    """Report this node's demand to the node that sums it up for these accounts."""

    peer: str
    demand: Any


@dataclass(frozen=True, slots=True)
class SendTally:
    """Send the total demand of all nodes to a node that reported its own."""

    peer: str
    tally: Any


SharesAction = SendDemand | SendTally


@dataclass(slots=True)
class _LocalDemand:
    limit: int
    rejected: int = 0


@dataclass(slots=True)
class _AccountTally:
    """The last demand that each node reported, with the time of the report."""

    since_ms: int
    demand_by_node: dict[str, tuple[int, int]] = field(default_factory=dict)

    def total(self, now_ms: int) -> int:
        fresh = {
            node: reported
            for node, reported in self.demand_by_node.items()
            if now_ms - reported[1] <= _MAX_TALLY_AGE_MS
        }
        self.demand_by_node = fresh
        return sum(demand for demand, _ in fresh.values())


class AccountShares:
    """Divides the limits of accounts by the demand at each node; does no I/O.

    A quarter of a limit is divided evenly among the nodes, and three quarters in
    proportion to the demand at each node. The parts add up to the limit. Every two
    seconds a node reports its demand to the account's owner, a node chosen by
    rendezvous hashing, unless the demand is within its part of the even quarter. The
    owner answers with the total of all nodes.

    A total is valid for six seconds, and the nodes need not agree on it: if the owner
    stops, the node next in rank receives the next reports. A node that receives no
    totals uses an even part of the whole limit.

    ``owner_of`` returns the node that sums up the demand of an account.

    >>> shares = AccountShares("a", owner_of=lambda account: "b")
    >>> shares.set_nodes(4)
    >>> shares.local_limit(0, "account", 100)
    25
    """

    __slots__ = (
        "_demand_by_account",
        "_next_report_ms",
        "_node_count",
        "_own",
        "_owner_of",
        "_tally_by_hash",
        "_domain_total_by_hash",
    )

    def __init__(self, own: str, *, owner_of: Callable[[str], str]) -> None:
        self._own = own
        self._owner_of = owner_of
        self._node_count = 1
        self._next_report_ms = 0
        self._demand_by_account: dict[str, _LocalDemand] = {}
        self._tally_by_hash: dict[int, _AccountTally] = {}
        self._domain_total_by_hash: dict[int, tuple[int, int, int]] = {}

    def set_nodes(self, nodes: int) -> None:
        """Set the number of live nodes of the domain, including this one."""
        self._node_count = max(1, nodes)

    def local_limit(self, now_ms: int, account: str, limit: int) -> int:
        """Return how many requests an account may have in flight at this node.

        The result is at least 1. If a limit is smaller than the number of nodes, the
        nodes together therefore admit more: one request each.
        """
        if self._node_count == 1:
            return limit
        local_demand = self._demand_by_account.get(account)
        if local_demand is None:
            local_demand = self._demand_by_account[account] = _LocalDemand(limit)
        local_demand.limit = limit
        received = self._domain_total_by_hash.get(_hash(account))
        if received is None or now_ms - received[2] > _MAX_TALLY_AGE_MS:
            return max(1, limit // self._node_count)
        own, total, _ = received
        even = _EVEN_SHARE * limit / self._node_count
        by_demand = (1.0 - _EVEN_SHARE) * limit * own / max(own, total, 1)
        return max(1, int(even + by_demand))

    def on_rejected(self, account: str) -> None:
        """Count a request that the limit rejected, as part of the demand."""
        local_demand = self._demand_by_account.get(account)
        if local_demand is not None:
            local_demand.rejected += 1

    def tick(self, now_ms: int, in_flight: Callable[[str], int]) -> list[SharesAction]:
        """Return the reports of demand to send; not empty only once per period."""
        if now_ms < self._next_report_ms or self._node_count == 1:
            return []
        self._next_report_ms = now_ms + _REPORT_PERIOD_MS
        demand_by_account = {
            account: in_flight(account) + local_demand.rejected
            for account, local_demand in self._demand_by_account.items()
            if in_flight(account) + local_demand.rejected
            > _EVEN_SHARE * local_demand.limit / self._node_count
        }
        self._demand_by_account = {
            account: _LocalDemand(local_demand.limit)
            for account, local_demand in self._demand_by_account.items()
            if in_flight(account)
        }
        self._remove_stale(now_ms)
        return self._report_demands(now_ms, demand_by_account)

    def on_demand(self, now_ms: int, sender: str, message: Any) -> list[SharesAction]:
        """Record a node's demands and answer with the totals."""
        if len(message.accounts) != len(message.demands):
            return []
        tally = Tally(accounts=[], totals=[])
        for hashed, demand in zip(message.accounts, message.demands, strict=True):
            tally_of_account = self._tally_by_hash.setdefault(
                hashed, _AccountTally(now_ms)
            )
            tally_of_account.demand_by_node[sender] = max(0, demand), now_ms
            # A total that does not yet include all nodes would give the first of them
            # nearly the whole limit, and a flood of requests would start with several
            # times the limit. After one period every node has reported once.
            if now_ms - tally_of_account.since_ms >= _REPORT_PERIOD_MS:
                tally.accounts.append(hashed)
                tally.totals.append(tally_of_account.total(now_ms))
        return [SendTally(sender, tally)] if tally.accounts else []

    def on_tally(self, now_ms: int, message: Any) -> None:
        """Record the totals received in answer to this node's demands."""
        for hashed, total in zip(message.accounts, message.totals, strict=False):
            received = self._domain_total_by_hash.get(hashed)
            if received is not None:
                self._domain_total_by_hash[hashed] = received[0], total, now_ms

    def _report_demands(
        self, now_ms: int, demand_by_account: dict[str, int]
    ) -> list[SharesAction]:
        by_owner: dict[str, list[str]] = {}
        by_demand_descending = sorted(
            demand_by_account, key=demand_by_account.get, reverse=True
        )
        for account in by_demand_descending[:_MAX_ACCOUNTS_PER_PERIOD]:
            by_owner.setdefault(self._owner_of(account), []).append(account)
        actions: list[SharesAction] = []
        for owner, accounts in by_owner.items():
            hashes = [_hash(account) for account in accounts]
            demands = [demand_by_account[account] for account in accounts]
            for hashed, demand in zip(hashes, demands, strict=True):
                _, total, received_ms = self._domain_total_by_hash.get(
                    hashed, (0, 0, -_MAX_TALLY_AGE_MS)
                )
                # Until the answer arrives, the last received total is used.
                self._domain_total_by_hash[hashed] = demand, total, received_ms
            message = Demand(accounts=hashes, demands=demands)
            if owner == self._own:
                for answer in self.on_demand(now_ms, self._own, message):
                    self.on_tally(now_ms, answer.tally)
            else:
                actions.append(SendDemand(owner, message))
        return actions

    def _remove_stale(self, now_ms: int) -> None:
        """Remove totals and tallies without recent reports, which keeps state small."""
        self._domain_total_by_hash = {
            hashed: received
            for hashed, received in self._domain_total_by_hash.items()
            if now_ms - received[2] <= _MAX_TALLY_AGE_MS
        }
        self._tally_by_hash = {
            hashed: tally_of_account
            for hashed, tally_of_account in self._tally_by_hash.items()
            if tally_of_account.total(now_ms)
        }


def _hash(account: str) -> int:
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big", signed=True)
