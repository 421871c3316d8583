"""The choice of the aggregator of each failure domain."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fireflyward.rendezvous import rendezvous_rank

_DUTY = "aggregator"
# An aggregator sends at least every 200 ms, so this allows for one lost datagram and a
# delayed next one. It is also the highest age of the loads that a node uses.
SILENT_AFTER_MS = 450
# If this process did not run for longer than this, it says nothing that it has received
# no message.
_MAX_LOST_MS = 200
# With fewer other nodes than this, all nodes send their loads to each other. With more,
# the datagrams, which grow with the square of the number of nodes, cost more than the
# additional hop through an aggregator.
_MIN_OTHER_NODES = 12

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Member:
    """One node as described by its row in the table of nodes.

    ``address`` receives datagrams, and ``link_mbps`` is the capacity of its link.
    """

    name: str
    failure_domain: str
    address: Address
    link_mbps: float


class Aggregators:
    """Selects one aggregator for each failure domain; no I/O.

    Every node ranks the nodes of a domain in the same order and selects the first one
    that is not silent, so the nodes need no messages to agree. Nodes with the fastest
    links come first: an aggregator sends to all other nodes of its domain, and if its
    link is saturated, they receive outdated loads. Two nodes may select different
    aggregators for a short time. Therefore every node that receives load reports sums
    them up, and the sums of all aggregators of a domain together count each node once.

    A node is silent if this node sent it a message and has received nothing from it for
    ``SILENT_AFTER_MS``. When anything arrives from it again, it can be selected again.
    A node that was paused sends again as soon as it continues, because a node never
    considers itself silent. If this process itself did not run meanwhile, the time of
    the others begins anew. Otherwise, after a fault in which all nodes stood still,
    each of them would take the aggregators for silent and read from the store.

    >>> nodes = Aggregators("a", "d1", link_mbps=100)
    >>> nodes.set_members([Member("b", "d2", ("10.0.0.2", 77), 100)])
    >>> nodes.aggregator_of(0, "d2").name, nodes.aggregator_of(0, "d1") is None
    ('b', True)
    """

    __slots__ = (
        "_domain",
        "_lost_ms",
        "_members_by_domain",
        "_name",
        "_own_rank",
        "_unanswered_since_ms_by_name",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        *,
        link_mbps: float,
        lost_ms: Callable[[int], int] = lambda since_ms: 0,
    ) -> None:
        """``lost_ms`` returns for how long this process did not run since a time."""
        self._name = name
        self._lost_ms = lost_ms
        self._own_rank = _rank(name, link_mbps)
        self._domain = failure_domain
        self._members_by_domain: dict[str, list[Member]] = {}
        self._unanswered_since_ms_by_name: dict[str, int] = {}

    @property
    def are_needed(self) -> bool:
        """Return whether there are too many nodes for each to send to all others."""
        return sum(map(len, self._members_by_domain.values())) >= _MIN_OTHER_NODES

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the other nodes of the fleet."""
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        for group in by_domain.values():
            group.sort(key=_rank_of)
        self._members_by_domain = by_domain

    def other_domains(self) -> list[str]:
        """Return all failure domains except the domain of this node."""
        return [domain for domain in self._members_by_domain if domain != self._domain]

    def neighbour_addresses(self) -> list[Address]:
        """Return the addresses of the other nodes of this failure domain."""
        members = self._members_by_domain.get(self._domain, ())
        return [member.address for member in members]

    def all_addresses(self) -> list[Address]:
        """Return the addresses of all other nodes."""
        return [member.address for member in self.all_members()]

    def all_members(self) -> list[Member]:
        """Return all other nodes."""
        return [item for group in self._members_by_domain.values() for item in group]

    def responsive_members(self, now_ms: int) -> list[Member]:
        """Return the other nodes, without those that do not answer this one.

        If none answers, all are returned: messages to them may have been lost.
        """
        members = self.all_members()
        answering = [item for item in members if not self._is_silent(now_ms, item.name)]
        return answering or members

    def own_aggregator(self, now_ms: int) -> Member | None:
        """Return this domain's aggregator, or None if it is this node."""
        for member in self._members_by_domain.get(self._domain, ()):
            if self._own_rank < _rank_of(member):
                return None
            if not self._is_silent(now_ms, member.name):
                return member
        return None

    def aggregator_of(self, now_ms: int, failure_domain: str) -> Member | None:
        """Return another domain's aggregator, or its first node if all are silent."""
        members = self._members_by_domain.get(failure_domain, [])
        for member in members:
            if not self._is_silent(now_ms, member.name):
                return member
        return members[0] if members else None

    def publishing_nodes(self, now_ms: int, sum_senders: Iterable[str]) -> list[Member]:
        """Return the other nodes that may currently be aggregators of some domain.

        These are the aggregators of the other domains, the nodes of this domain with a
        better rank, which this node considers silent and other nodes may not, and the
        nodes named in ``sum_senders``, which sent a sum to this node.
        """
        names = set(sum_senders)
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
        """Return the first of all domains' aggregators, or None if it is this node.

        The root aggregator reads the store's tables on behalf of all domains. All nodes
        rank the nodes in the same order, so two nodes never name each other as root.
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
        """Record that a message was sent to a node, which should soon send one too."""
        self._unanswered_since_ms_by_name.setdefault(name, now_ms)

    def on_received_from(self, name: str) -> None:
        """Record that a message was received from a node."""
        self._unanswered_since_ms_by_name.pop(name, None)

    def _is_silent(self, now_ms: int, name: str) -> bool:
        since_ms = self._unanswered_since_ms_by_name.get(name)
        if since_ms is None or now_ms - since_ms < SILENT_AFTER_MS:
            return False
        if self._lost_ms(since_ms) > _MAX_LOST_MS:
            self._unanswered_since_ms_by_name[name] = now_ms
            return False
        return True


def _rank_of(member: Member) -> tuple[float, int]:
    return _rank(member.name, member.link_mbps)


def _rank(name: str, link_mbps: float) -> tuple[float, int]:
    return -link_mbps, rendezvous_rank(_DUTY, name)
