"""Simulates how the nodes of one failure domain share the limits of accounts."""

import itertools
from typing import Any

from fireflyward.limits import AccountShares, SendDemand, SharesAction
from fireflyward.membership import Member, owner_of
from fireflyward.peers import PeerCodec, pack
from fireflyward.peers._codec import Envelope

_KEY = b"k" * 16
_DOMAIN = "here"


class SharesMesh:
    """Nodes whose datagrams arrive immediately, unless a node is disconnected.

    ``in_flight`` counts requests by node and account. A request stays in flight
    until the user of this class lowers the count.
    """

    def __init__(self, nodes: int, *, limit: int = 100) -> None:
        self.now_ms = 0
        self.limit = limit
        self.names = [f"entry-{_DOMAIN}-{index}" for index in range(nodes)]
        self.disconnected: set[str] = set()
        self.in_flight: dict[tuple[str, str], int] = {}
        self.sent_bytes = dict.fromkeys(self.names, 0)
        self._codec = PeerCodec((_KEY,))
        self._sequence = itertools.count()
        self._members = [
            Member(name, ("127.0.0.1", 1), _DOMAIN, "r", 1) for name in self.names
        ]
        self.shares_by_name = {
            name: AccountShares(name, owner_of=self.owner) for name in self.names
        }
        for shares in self.shares_by_name.values():
            shares.set_nodes(nodes)

    def owner(self, account: str) -> str:
        """Return the node that tallies an account."""
        member = owner_of(account, self._members)
        assert member is not None, "a mesh has nodes"
        return member.name

    def local_limit(self, name: str, account: str) -> int:
        """Return a node's part of an account's limit."""
        return self.shares_by_name[name].local_limit(self.now_ms, account, self.limit)

    def try_admit(self, name: str, account: str) -> bool:
        """Admit one request if the node's part of the limit allows it."""
        in_flight = self.in_flight.get((name, account), 0)
        if in_flight < self.local_limit(name, account):
            self.in_flight[name, account] = in_flight + 1
            return True
        self.shares_by_name[name].on_rejected(account)
        return False

    def total_in_flight(self, account: str) -> int:
        """Return the requests of an account that are in flight at all nodes."""
        return sum(
            count for (_, other), count in self.in_flight.items() if other == account
        )

    def pass_time(self, by_ms: int = 2_000) -> None:
        """Advance the clock and tick each node once."""
        self.now_ms += by_ms
        for name, shares in self.shares_by_name.items():
            in_flight = {
                account: count
                for (node, account), count in self.in_flight.items()
                if node == name
            }
            for action in shares.tick(
                self.now_ms, lambda a, in_flight=in_flight: in_flight.get(a, 0)
            ):
                self._deliver(name, action)

    def _deliver(self, sender: str, action: SharesAction) -> None:
        is_demand = isinstance(action, SendDemand)
        message = action.demand if is_demand else action.tally
        self.sent_bytes[sender] += self._frame_bytes(sender, message)
        if sender in self.disconnected or action.peer in self.disconnected:
            return
        receiver = self.shares_by_name[action.peer]
        if not is_demand:
            receiver.on_tally(self.now_ms, message)
            return
        for answer in receiver.on_demand(self.now_ms, sender, message):
            self._deliver(action.peer, answer)

    def _frame_bytes(self, sender: str, message: Any) -> int:
        envelope = Envelope(
            sender=sender,
            incarnation=1_790_000_000_000,
            sequence=next(self._sequence),
            kind="demand",
            body=pack(message),
        )
        return len(self._codec.seal(envelope))
