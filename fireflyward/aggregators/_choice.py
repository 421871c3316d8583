"""The choice of the node that sums up for its failure domain."""

from collections.abc import Iterable
from dataclasses import dataclass

from fireflyward.rendezvous import rendezvous_rank

_DUTY = "aggregator"
# An aggregator speaks at least every 200 ms, so this is one lost datagram and the
# next one late. What a node believes of loads is as old as this at the worst.
SILENT_AFTER_MS = 450
# Up to this many nodes all tell each other; beyond it the datagrams, which grow with
# the square of the nodes, cost more than the second hop.
_FEW_NODES = 12

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Member:
    """One node as its row tells: its name, place, address for datagrams and link."""

    name: str
    failure_domain: str
    address: Address
    link_mbps: float


class Aggregators:
    """Names one aggregator for each failure domain; no I/O.

    Every node ranks the nodes of a domain alike and takes the first that is not
    silent, so no message is spent on agreeing. The widest links come first: an
    aggregator sends what all its neighbours receive, and one whose link is full tells
    everyone of loads that have long changed. Two nodes may take different ones for
    a moment, which is why whoever is told anything sums it up: the sums of all
    aggregators of a domain together count each node once.

    A node is silent when it was spoken to and nothing came back for a while. Once
    anything comes from it again it is taken again, which a node that was paused
    brings about itself, because it is always its own first choice.

    >>> nodes = Aggregators("a", "d1", link_mbps=100)
    >>> nodes.set_members([Member("b", "d2", ("10.0.0.2", 77), 100)])
    >>> nodes.aggregator_of(0, "d2").name, nodes.aggregator_of(0, "d1") is None
    ('b', True)
    """

    __slots__ = (
        "_domain",
        "_members_by_domain",
        "_name",
        "_own_rank",
        "_spoken_to_ms_by_name",
    )

    def __init__(self, name: str, failure_domain: str, *, link_mbps: float) -> None:
        self._name = name
        self._own_rank = _rank(name, link_mbps)
        self._domain = failure_domain
        self._members_by_domain: dict[str, list[Member]] = {}
        self._spoken_to_ms_by_name: dict[str, int] = {}

    @property
    def are_needed(self) -> bool:
        """Tell whether there are too many nodes for all to tell all."""
        return sum(map(len, self._members_by_domain.values())) >= _FEW_NODES

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the other nodes."""
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        for found in by_domain.values():
            found.sort(key=_rank_of)
        self._members_by_domain = by_domain

    def other_domains(self) -> list[str]:
        """Return the failure domains of other nodes but this one's."""
        return [domain for domain in self._members_by_domain if domain != self._domain]

    def neighbour_addresses(self) -> list[Address]:
        """Return the addresses of the other nodes of this failure domain."""
        members = self._members_by_domain.get(self._domain, ())
        return [member.address for member in members]

    def all_addresses(self) -> list[Address]:
        """Return the addresses of all other nodes."""
        groups = self._members_by_domain.values()
        return [member.address for group in groups for member in group]

    def own_aggregator(self, now_ms: int) -> Member | None:
        """Return this domain's aggregator, None if it is this node itself."""
        for member in self._members_by_domain.get(self._domain, ()):
            if self._own_rank < _rank_of(member):
                return None
            if not self._is_silent(now_ms, member.name):
                return member
        return None

    def aggregator_of(self, now_ms: int, failure_domain: str) -> Member | None:
        """Return another domain's aggregator; the first if all are silent."""
        members = self._members_by_domain.get(failure_domain, [])
        for member in members:
            if not self._is_silent(now_ms, member.name):
                return member
        return members[0] if members else None

    def publishing_nodes(self, now_ms: int, telling: Iterable[str]) -> list[Member]:
        """Return the other nodes that may sum up for some domain now.

        They are each other domain's aggregator, the nodes of this domain that would
        go first, whom this node takes for silent and others may not, and those of
        ``telling``, who told this node a sum.
        """
        names = set(telling)
        for domain in self.other_domains():
            member = self.aggregator_of(now_ms, domain)
            if member is not None:
                names.add(member.name)
        return [
            member
            for domain, members in self._members_by_domain.items()
            for member in members
            if member.name in names
            or (domain == self._domain and _rank_of(member) < self._own_rank)
        ]

    def root_aggregator(self, now_ms: int) -> Member | None:
        """Return the first of all domains' aggregators, None if it is this node.

        It reads for all domains what one node can read for them. Everyone ranks all
        nodes alike, so whoever this names never names this node in turn.
        """
        best: Member | None = None
        for domain in self.other_domains():
            member = self.aggregator_of(now_ms, domain)
            if member is None or self._is_silent(now_ms, member.name):
                continue
            if best is None or _rank_of(member) < _rank_of(best):
                best = member
        if best is None or self._own_rank < _rank_of(best):
            return None
        return best

    def on_sent_to(self, now_ms: int, name: str) -> None:
        """Note that something was sent to a node that should soon be heard."""
        self._spoken_to_ms_by_name.setdefault(name, now_ms)

    def on_received_from(self, name: str) -> None:
        """Note that something came from a node."""
        self._spoken_to_ms_by_name.pop(name, None)

    def _is_silent(self, now_ms: int, name: str) -> bool:
        since_ms = self._spoken_to_ms_by_name.get(name)
        return since_ms is not None and now_ms - since_ms >= SILENT_AFTER_MS


def _rank_of(member: Member) -> tuple[float, int]:
    return _rank(member.name, member.link_mbps)


def _rank(name: str, link_mbps: float) -> tuple[float, int]:
    return -link_mbps, rendezvous_rank(_DUTY, name)
