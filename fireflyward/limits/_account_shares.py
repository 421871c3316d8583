"""Each node's part of a limit that holds over all nodes of a failure domain."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ._limits_structs import Demand, Tally

_PERIOD_MS = 2_000
_FRESH_MS = 6_000
_FLOOR_SHARE = 0.25
_MOST_SPOKEN = 100


@dataclass(frozen=True, slots=True)
class SendDemand:
    """Tell the node that tallies these accounts what this node asks for."""

    peer: str
    demand: Any


@dataclass(frozen=True, slots=True)
class SendTally:
    """Answer a node with what all together ask for."""

    peer: str
    tally: Any


SharesAction = SendDemand | SendTally


@dataclass(slots=True)
class _Asked:
    limit: int
    refused: int = 0


@dataclass(slots=True)
class _Tallied:
    """What each node last said that it asks for, and when."""

    since_ms: int
    demand_by_node: dict[str, tuple[int, int]] = field(default_factory=dict)

    def total(self, now_ms: int) -> int:
        fresh = {
            node: said
            for node, said in self.demand_by_node.items()
            if now_ms - said[1] <= _FRESH_MS
        }
        self.demand_by_node = fresh
        return sum(demand for demand, _ in fresh.values())


class AccountShares:
    """Divides limits by what each node's callers ask for; does no I/O.

    A quarter of a limit is divided evenly; a node whose account asks for no more
    than that says nothing. Others tell their demand every two seconds to the node that
    tallies the account, which rendezvous hashing names, and hear the total. The
    other three quarters are divided by demand. All parts together make the limit.
    The tally is forgotten after six seconds and is no agreement: if its node goes,
    the next in rank takes over with the next demands. A node that
    hears no tally keeps to an even part of the whole limit.

    ``owner_of`` names the node that tallies an account, ``nodes`` is the number of
    live nodes of the domain, this one included.

    >>> shares = AccountShares("a", owner_of=lambda account: "b")
    >>> shares.set_nodes(4)
    >>> shares.local_limit(0, "account", 100)
    25
    """

    __slots__ = (
        "_asked_by_account",
        "_due_ms",
        "_nodes",
        "_own",
        "_owner_of",
        "_tallied_by_hash",
        "_total_by_hash",
    )

    def __init__(self, own: str, *, owner_of: Callable[[str], str]) -> None:
        self._own = own
        self._owner_of = owner_of
        self._nodes = 1
        self._due_ms = 0
        self._asked_by_account: dict[str, _Asked] = {}
        self._tallied_by_hash: dict[int, _Tallied] = {}
        self._total_by_hash: dict[int, tuple[int, int, int]] = {}

    def set_nodes(self, nodes: int) -> None:
        """Take the number of live nodes of the domain."""
        self._nodes = max(1, nodes)

    def local_limit(self, now_ms: int, account: str, limit: int) -> int:
        """Return how many requests an account may have at this node now.

        It is 1 at least, so a limit smaller than the number of nodes holds only
        as one for each node.
        """
        if self._nodes == 1:
            return limit
        asked = self._asked_by_account.get(account)
        if asked is None:
            asked = self._asked_by_account[account] = _Asked(limit)
        asked.limit = limit
        heard = self._total_by_hash.get(_hash(account))
        if heard is None or now_ms - heard[2] > _FRESH_MS:
            return max(1, limit // self._nodes)
        own, total, _ = heard
        even = _FLOOR_SHARE * limit / self._nodes
        by_demand = (1.0 - _FLOOR_SHARE) * limit * own / max(own, total, 1)
        return max(1, int(even + by_demand))

    def on_rejected(self, account: str) -> None:
        """Count a request that the limit refused; it shows what is asked for."""
        asked = self._asked_by_account.get(account)
        if asked is not None:
            asked.refused += 1

    def tick(self, now_ms: int, in_flight: Callable[[str], int]) -> list[SharesAction]:
        """Return the demands to tell, once in a period."""
        if now_ms < self._due_ms or self._nodes == 1:
            return []
        self._due_ms = now_ms + _PERIOD_MS
        demand_by_account = {
            account: in_flight(account) + asked.refused
            for account, asked in self._asked_by_account.items()
            if in_flight(account) + asked.refused
            > _FLOOR_SHARE * asked.limit / self._nodes
        }
        self._asked_by_account = {
            account: _Asked(asked.limit)
            for account, asked in self._asked_by_account.items()
            if in_flight(account)
        }
        self._forget(now_ms)
        return self._tell(now_ms, demand_by_account)

    def on_demand(self, now_ms: int, sender: str, message: Any) -> list[SharesAction]:
        """Take a node's demands and answer with the totals."""
        if len(message.accounts) != len(message.demands):
            return []
        tally = Tally(accounts=[], totals=[])
        for hashed, demand in zip(message.accounts, message.demands, strict=True):
            tallied = self._tallied_by_hash.setdefault(hashed, _Tallied(now_ms))
            tallied.demand_by_node[sender] = max(0, demand), now_ms
            # A total that not all nodes are in yet would give the first of them
            # nearly the whole limit, seen as a flood that starts with several
            # times the limit. After a period every node has spoken once.
            if now_ms - tallied.since_ms >= _PERIOD_MS:
                tally.accounts.append(hashed)
                tally.totals.append(tallied.total(now_ms))
        return [SendTally(sender, tally)] if tally.accounts else []

    def on_tally(self, now_ms: int, message: Any) -> None:
        """Take the totals that answer this node's own demands."""
        for hashed, total in zip(message.accounts, message.totals, strict=False):
            told = self._total_by_hash.get(hashed)
            if told is not None:
                self._total_by_hash[hashed] = told[0], total, now_ms

    def _tell(
        self, now_ms: int, demand_by_account: dict[str, int]
    ) -> list[SharesAction]:
        by_owner: dict[str, list[str]] = {}
        most = sorted(demand_by_account, key=demand_by_account.get, reverse=True)
        for account in most[:_MOST_SPOKEN]:
            by_owner.setdefault(self._owner_of(account), []).append(account)
        actions: list[SharesAction] = []
        for owner, accounts in by_owner.items():
            hashes = [_hash(account) for account in accounts]
            demands = [demand_by_account[account] for account in accounts]
            for hashed, demand in zip(hashes, demands, strict=True):
                _, total, heard_ms = self._total_by_hash.get(hashed, (0, 0, -_FRESH_MS))
                # Until the answer comes, the part follows the last known total.
                self._total_by_hash[hashed] = demand, total, heard_ms
            message = Demand(accounts=hashes, demands=demands)
            if owner == self._own:
                for answer in self.on_demand(now_ms, self._own, message):
                    self.on_tally(now_ms, answer.tally)
            else:
                actions.append(SendDemand(owner, message))
        return actions

    def _forget(self, now_ms: int) -> None:
        """Drop what nobody has spoken of lately, so that state stays small."""
        self._total_by_hash = {
            hashed: told
            for hashed, told in self._total_by_hash.items()
            if now_ms - told[2] <= _FRESH_MS
        }
        self._tallied_by_hash = {
            hashed: tallied
            for hashed, tallied in self._tallied_by_hash.items()
            if tallied.total(now_ms)
        }


def _hash(account: str) -> int:
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big", signed=True)
