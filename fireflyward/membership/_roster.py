"""The rules that decide when one row about a member replaces another."""

from dataclasses import replace

from ._gossip import GossipQueue
from ._members import Member, Members, MemberState

_FORGET_DEAD_MS = 3_600_000


class Roster:
    """Merges rows into ``Members`` and queues changed rows as gossip.

    A higher incarnation makes a row newer, then a higher state. Rows may therefore
    arrive in any order and any number of times: merging one again changes nothing. A
    recorded datagram that is replayed contains an incarnation that is already known,
    so it can neither revive a dead node nor declare a live one dead.
    """

    __slots__ = ("_dead_since_ms_by_name", "_others_by_distance", "gossip", "members")

    def __init__(self, own: Member) -> None:
        self.members = Members(own)
        self.gossip = GossipQueue()
        self._dead_since_ms_by_name: dict[str, int] = {}
        self._others_by_distance: tuple[list[Member], list[Member]] | None = None

    @property
    def own(self) -> Member:
        return self.members.own

    def set_own(self, **changes: object) -> None:
        """Change this node's own row, which every datagram carries."""
        self.members.put(replace(self.own, **changes))

    def near(self) -> list[Member]:
        """Return the other members of the own failure domain that are not dead."""
        return self._others()[0]

    def far(self) -> list[Member]:
        """Return the members of other failure domains that are not dead."""
        return self._others()[1]

    def withdraw_suspicion(self, name: str) -> None:
        """Withdraw a suspicion that this node should not have raised."""
        self.gossip.drop(name)
        member = self.members.stored(name)
        if member is not None and member.state is MemberState.SUSPECTED:
            self.members.put(replace(member, state=MemberState.LIVE))
            self._others_by_distance = None

    def merge(self, now_ms: int, row: Member) -> Member | None:
        """Merge a row about another node; return the member if its row changed."""
        old = self.members.stored(row.name)
        if old is None:
            return self._add(now_ms, row)
        if not _is_newer(row, old):
            return None
        member = _merged(row, old)
        self._put(now_ms, member)
        self._enqueue_gossip(member)
        return member

    def set_state(self, now_ms: int, name: str, state: MemberState) -> Member:
        """Change the state of a member to what this node detected itself."""
        member = replace(self.members.stored(name), state=state)
        self._put(now_ms, member)
        self._enqueue_gossip(member)
        return member

    def forget_dead(self, now_ms: int) -> None:
        """Drop members that have been dead for an hour."""
        for name, since_ms in list(self._dead_since_ms_by_name.items()):
            if now_ms - since_ms > _FORGET_DEAD_MS:
                del self._dead_since_ms_by_name[name]
                self.gossip.drop(name)
                self.members.forget(name)
                self._others_by_distance = None

    def incarnation_to_exceed(self, row: Member) -> int | None:
        """Return the incarnation that this node must exceed to refute ``row``, or None.

        ``row`` says that this node is dead, suspected or leaving, or has a higher
        incarnation of it. The latter happens when the wall clock, which sets the
        first incarnation of a process, was set back before a restart.
        """
        own = self.own
        if row.incarnation > own.incarnation:
            return row.incarnation
        if row.incarnation == own.incarnation and row.state > own.state:
            return row.incarnation
        return None

    def _add(self, now_ms: int, row: Member) -> Member | None:
        if not row.failure_domain:
            return None
        self._put(now_ms, row)
        self._enqueue_gossip(row)
        return row

    def _enqueue_gossip(self, member: Member) -> None:
        self.gossip.put(member, len(self.members.stored_all()))

    def _others(self) -> tuple[list[Member], list[Member]]:
        """Return near and far members; cached, since reads are far more frequent."""
        if self._others_by_distance is None:
            near: list[Member] = []
            far: list[Member] = []
            own = self.own
            for member in self.members.stored_all():
                if member.name == own.name or member.state is MemberState.DEAD:
                    continue
                is_near = member.failure_domain == own.failure_domain
                (near if is_near else far).append(member)
            self._others_by_distance = near, far
        return self._others_by_distance

    def _put(self, now_ms: int, member: Member) -> None:
        self.members.put(member)
        self._others_by_distance = None
        if member.state is MemberState.DEAD:
            self._dead_since_ms_by_name.setdefault(member.name, now_ms)
        else:
            self._dead_since_ms_by_name.pop(member.name, None)


def _is_newer(row: Member, old: Member) -> bool:
    if (row.incarnation, row.state) != (old.incarnation, old.state):
        return (row.incarnation, row.state) > (old.incarnation, old.state)
    return row.bundle_number > old.bundle_number


def _merged(row: Member, old: Member) -> Member:
    member = row
    if not row.failure_domain:
        member = replace(
            row,
            address=old.address,
            failure_domain=old.failure_domain,
            region=old.region,
        )
    if row.incarnation == old.incarnation:
        bundle_number = max(row.bundle_number, old.bundle_number)
        member = replace(member, bundle_number=bundle_number)
    return member
