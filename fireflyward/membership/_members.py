"""The nodes that this node knows, as other slices read them."""

import enum
from dataclasses import dataclass, replace

Address = tuple[str, int]


class MemberState(enum.IntEnum):
    """What is known of a node; at one incarnation a higher value replaces a lower.

    ``UNHEARD`` is never told to others: it is what a node makes of the members of
    a failure domain from which nothing has come for a while, and of every node
    while it hears nobody at all and so cannot tell who of them is at fault.
    """

    LIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    DEAD = 3
    UNHEARD = 4


_COUNTED = frozenset({MemberState.LIVE, MemberState.SUSPECTED})


@dataclass(frozen=True, slots=True)
class Member:
    """One node: where it is, which of its lives this is, what it serves by.

    ``incarnation`` rises with every restart and every refuted suspicion;
    ``bundle_number`` is the last that was heard of, 0 before the first.
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
    are refuted within seconds, and work that moved on each of them would move
    twice for nothing. A member's ``state`` tells who wants to be more careful.

    >>> own = Member("entry-1", ("127.0.0.1", 1), "sala-norte", "santiago", 7)
    >>> [member.name for member in Members(own).live_in("sala-norte")]
    ['entry-1']
    """

    __slots__ = ("_member_by_name", "_own_name", "_unheard_domains", "_unheard_names")

    def __init__(self, own: Member) -> None:
        self._own_name = own.name
        self._member_by_name = {own.name: own}
        self._unheard_domains: frozenset[str] = frozenset()
        self._unheard_names: set[str] = set()

    def __repr__(self) -> str:
        return f"Members({self._own_name!r}, {len(self._member_by_name)})"

    @property
    def own(self) -> Member:
        return self._member_by_name[self._own_name]

    def get(self, name: str) -> Member | None:
        """Return a member in any state, or None if it was never heard of."""
        member = self._member_by_name.get(name)
        return self._as_heard(member) if member else None

    def known(self) -> tuple[Member, ...]:
        """Return every member in every state, ordered by name."""
        return tuple(
            self._as_heard(member) for _, member in sorted(self._member_by_name.items())
        )

    def live_in(self, failure_domain: str) -> tuple[Member, ...]:
        """Return the live members of one failure domain, ordered by name."""
        return tuple(
            member
            for member in self.all_live()
            if member.failure_domain == failure_domain
        )

    def all_live(self) -> tuple[Member, ...]:
        """Return the live members of every failure domain that is heard."""
        return tuple(member for member in self.known() if member.state in _COUNTED)

    def put(self, member: Member) -> None:
        """Replace what is known of a member; only ``Membership`` calls this."""
        self._member_by_name[member.name] = member

    def stored(self, name: str) -> Member | None:
        """Return a member's row as it is told to others, never ``UNHEARD``."""
        return self._member_by_name.get(name)

    def stored_all(self) -> tuple[Member, ...]:
        """Return every row as it is told to others, in no certain order."""
        return tuple(self._member_by_name.values())

    def forget(self, name: str) -> None:
        """Drop a member that has been dead for long."""
        del self._member_by_name[name]
        self._unheard_names.discard(name)

    def set_heard(self, name: str, *, heard: bool) -> None:
        """Note whether anything comes from one member, whatever others say."""
        if heard:
            self._unheard_names.discard(name)
        else:
            self._unheard_names.add(name)

    def set_unheard(self, failure_domains: frozenset[str]) -> None:
        """Name the failure domains from which nothing comes any more."""
        self._unheard_domains = failure_domains

    def _as_heard(self, member: Member) -> Member:
        unheard = (
            member.name in self._unheard_names
            or member.failure_domain in self._unheard_domains
        )
        if not unheard or member.state is MemberState.DEAD:
            return member
        return replace(member, state=MemberState.UNHEARD)
