"""The nodes that this node knows, as other packages read them."""

import enum
from dataclasses import dataclass, replace

Address = tuple[str, int]


class MemberState(enum.IntEnum):
    """The state of a node; within one incarnation a higher value replaces a lower one.

    ``UNHEARD`` means unreachable and is never sent to other nodes. A node assigns it
    to the members of a failure domain from which nothing has arrived for too long. A
    node that receives nothing from anybody assigns it also to a member that does not
    answer, since its own connection may be the one that failed.
    """

    LIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    DEAD = 3
    UNHEARD = 4


_LIVE_STATES = frozenset({MemberState.LIVE, MemberState.SUSPECTED})


@dataclass(frozen=True, slots=True)
class Member:
    """One node: its address and location, its incarnation and its bundle.

    ``incarnation`` rises with every restart and every refuted suspicion;
    ``bundle_number`` is the last one that was received, 0 before the first.
    """

    name: str
    address: Address
    failure_domain: str
    region: str
    incarnation: int
    state: MemberState = MemberState.LIVE
    bundle_number: int = 0


class Members:
    """The known nodes, this one included, by name.

    ``live_in`` and ``all_live`` count a suspected member as live: most suspicions
    are refuted within seconds, and work that is moved away from a suspected member
    would soon be moved back. A caller that must be stricter reads ``state``.

    >>> own = Member("entry-1", ("127.0.0.1", 1), "sala-norte", "santiago", 7)
    >>> [member.name for member in Members(own).live_in("sala-norte")]
    ['entry-1']
    """

    __slots__ = (
        "_member_by_name",
        "_own_name",
        "_unreachable_domains",
        "_unreachable_names",
    )

    def __init__(self, own: Member) -> None:
        self._own_name = own.name
        self._member_by_name = {own.name: own}
        self._unreachable_domains: frozenset[str] = frozenset()
        self._unreachable_names: set[str] = set()

    def __repr__(self) -> str:
        return f"Members({self._own_name!r}, {len(self._member_by_name)})"

    @property
    def own(self) -> Member:
        return self._member_by_name[self._own_name]

    def get(self, name: str) -> Member | None:
        """Return a member in any state, or None if it is unknown."""
        member = self._member_by_name.get(name)
        return self._with_reachability(member) if member else None

    def known(self) -> tuple[Member, ...]:
        """Return every member in every state, ordered by name."""
        return tuple(
            self._with_reachability(member)
            for _, member in sorted(self._member_by_name.items())
        )

    def live_in(self, failure_domain: str) -> tuple[Member, ...]:
        """Return the live members of one failure domain, ordered by name."""
        return tuple(
            member
            for member in self.all_live()
            if member.failure_domain == failure_domain
        )

    def all_live(self) -> tuple[Member, ...]:
        """Return the live members of all reachable failure domains, by name."""
        return tuple(member for member in self.known() if member.state in _LIVE_STATES)

    def put(self, member: Member) -> None:
        """Replace the row of a member; only ``Membership`` calls this."""
        self._member_by_name[member.name] = member

    def stored(self, name: str) -> Member | None:
        """Return a member's row as it is sent to other nodes, never ``UNHEARD``."""
        return self._member_by_name.get(name)

    def stored_all(self) -> tuple[Member, ...]:
        """Return every row as it is sent to other nodes, in no particular order."""
        return tuple(self._member_by_name.values())

    def forget(self, name: str) -> None:
        """Remove a member that has been dead for a long time."""
        del self._member_by_name[name]
        self._unreachable_names.discard(name)

    def set_reachable(self, name: str, *, reachable: bool) -> None:
        """Record whether this node can reach a member, whatever other nodes report."""
        if reachable:
            self._unreachable_names.discard(name)
        else:
            self._unreachable_names.add(name)

    def set_unreachable_domains(self, failure_domains: frozenset[str]) -> None:
        """Replace the set of failure domains from which nothing arrives any more."""
        self._unreachable_domains = failure_domains

    def _with_reachability(self, member: Member) -> Member:
        unreachable = (
            member.name in self._unreachable_names
            or member.failure_domain in self._unreachable_domains
        )
        if not unreachable or member.state is MemberState.DEAD:
            return member
        return replace(member, state=MemberState.UNHEARD)
