"""Divides an account's limit among the nodes of a failure domain."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ._account_tally import (
    EVEN_SHARE,
    MAX_TALLY_AGE_MS,
    REPORT_PERIOD_MS,
    AccountTally,
    DemandReport,
    part_by_demand,
)
from ._limits_structs import Demand, Tally

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
class _Share:
    """The last answer of an account's owner; an older owner sends no ``part``."""

    demand: int
    total: int = 0
    part: int | None = None
    received_ms: int = -MAX_TALLY_AGE_MS - 1

    def is_valid(self, now_ms: int) -> bool:
        return now_ms - self.received_ms <= MAX_TALLY_AGE_MS


class AccountShares:
    """Divides the limits of accounts by the demand at each node; does no I/O.

    A quarter of a limit is divided evenly among the nodes, and three quarters in
    proportion to the demand at each node. Every two seconds a node reports its demand
    to the account's owner, a node chosen by rendezvous hashing, unless the demand is
    within its part of the even quarter and it holds no larger part. The owner answers
    with the part that the node may use (``AccountTally``).

    A part is valid for six seconds, and nothing is agreed upon: if the owner stops, the
    node next in rank receives the next reports. A node that receives no answers uses an
    even part of the whole limit.

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
        "_share_by_hash",
        "_tally_by_hash",
    )

    def __init__(self, own: str, *, owner_of: Callable[[str], str]) -> None:
        self._own = own
        self._owner_of = owner_of
        self._node_count = 1
        self._next_report_ms = 0
        self._demand_by_account: dict[str, _LocalDemand] = {}
        self._tally_by_hash: dict[int, AccountTally] = {}
        self._share_by_hash: dict[int, _Share] = {}

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
        share = self._share_by_hash.get(_hash(account))
        if share is None or not share.is_valid(now_ms):
            return max(1, limit // self._node_count)
        if share.part is not None:
            return max(1, min(share.part, limit))
        part = part_by_demand(limit, self._node_count, share.demand, share.total)
        return max(1, part)

    def on_rejected(self, account: str) -> None:
        """Count a request that the limit rejected, as part of the demand."""
        local_demand = self._demand_by_account.get(account)
        if local_demand is not None:
            local_demand.rejected += 1

    def tick(self, now_ms: int, in_flight: Callable[[str], int]) -> list[SharesAction]:
        """Return the reports of demand to send; not empty only once per period."""
        if now_ms < self._next_report_ms or self._node_count == 1:
            return []
        self._next_report_ms = now_ms + REPORT_PERIOD_MS
        report_by_account = {
            account: DemandReport(
                in_flight(account) + local_demand.rejected,
                in_flight(account),
                local_demand.limit,
            )
            for account, local_demand in self._demand_by_account.items()
        }
        self._remove_stale(now_ms)
        self._demand_by_account = {
            account: _LocalDemand(local_demand.limit)
            for account, local_demand in self._demand_by_account.items()
            if in_flight(account) or _hash(account) in self._share_by_hash
        }
        return self._report_demands(now_ms, report_by_account)

    def on_demand(self, now_ms: int, sender: str, message: Any) -> list[SharesAction]:
        """Record a node's demands and answer with the parts that it may use."""
        tally = Tally(accounts=[], totals=[], parts=[])
        for hashed, report in _decode_reports(message):
            tally_of_account = self._tally_by_hash.setdefault(hashed, AccountTally())
            allotment = tally_of_account.record(
                now_ms, self._node_count, sender, report
            )
            if allotment is not None:
                tally.accounts.append(hashed)
                tally.totals.append(allotment.total)
                tally.parts.append(allotment.part)
        return [SendTally(sender, tally)] if tally.accounts else []

    def on_tally(self, now_ms: int, message: Any) -> None:
        """Record the parts received in answer to this node's demands."""
        parts = message.parts or [None] * len(message.accounts)
        answers = zip(message.accounts, message.totals, parts, strict=False)
        for hashed, total, part in answers:
            share = self._share_by_hash.get(hashed)
            if share is not None:
                share.total, share.part, share.received_ms = total, part, now_ms

    def _report_demands(
        self, now_ms: int, report_by_account: dict[str, DemandReport]
    ) -> list[SharesAction]:
        by_owner: dict[str, list[str]] = {}
        for account in self._accounts_to_report(report_by_account):
            by_owner.setdefault(self._owner_of(account), []).append(account)
        actions: list[SharesAction] = []
        for owner, accounts in by_owner.items():
            reports = [report_by_account[account] for account in accounts]
            message = _encode_reports(accounts, reports)
            # Until the answer arrives, the last received part is used.
            for hashed, report in zip(message.accounts, reports, strict=True):
                self._share_by_hash.setdefault(hashed, _Share(0)).demand = report.demand
            if owner == self._own:
                for answer in self.on_demand(now_ms, self._own, message):
                    self.on_tally(now_ms, answer.tally)
            else:
                actions.append(SendDemand(owner, message))
            self._drop_unneeded_shares(accounts, reports)
        return actions

    def _accounts_to_report(
        self, report_by_account: dict[str, DemandReport]
    ) -> list[str]:
        """Return the accounts with demand, and those whose part can be given back."""
        accounts = [
            account
            for account, report in report_by_account.items()
            if self._needs_part(report) or _hash(account) in self._share_by_hash
        ]
        accounts.sort(key=lambda account: -report_by_account[account].demand)
        return accounts[:_MAX_ACCOUNTS_PER_PERIOD]

    def _needs_part(self, report: DemandReport) -> bool:
        return report.demand > EVEN_SHARE * report.limit / self._node_count

    def _drop_unneeded_shares(
        self, accounts: list[str], reports: list[DemandReport]
    ) -> None:
        """Stop using parts that the demand does not need; the owner was told."""
        for account, report in zip(accounts, reports, strict=True):
            if not self._needs_part(report):
                self._share_by_hash.pop(_hash(account), None)

    def _remove_stale(self, now_ms: int) -> None:
        """Remove parts and tallies without recent reports, which keeps state small."""
        self._share_by_hash = {
            hashed: share
            for hashed, share in self._share_by_hash.items()
            if share.is_valid(now_ms)
        }
        self._tally_by_hash = {
            hashed: tally
            for hashed, tally in self._tally_by_hash.items()
            if tally.remove_stale(now_ms)
        }


def _encode_reports(accounts: list[str], reports: list[DemandReport]) -> Any:
    return Demand(
        accounts=[_hash(account) for account in accounts],
        demands=[report.demand for report in reports],
        in_flight=[report.in_flight for report in reports],
        limits=[report.limit for report in reports],
    )


def _decode_reports(message: Any) -> list[tuple[int, DemandReport]]:
    """Return the reports by the hash of their account; none if the lists differ."""
    count = len(message.accounts)
    in_flight = message.in_flight or [0] * count
    limits = message.limits or [0] * count
    columns = (message.demands, in_flight, limits)
    if any(len(column) != count for column in columns):
        return []
    rows = zip(message.accounts, *columns, strict=True)
    return [(row[0], DemandReport(*map(_non_negative, row[1:]))) for row in rows]


def _non_negative(value: int) -> int:
    return max(0, value)


def _hash(account: str) -> int:
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big", signed=True)
