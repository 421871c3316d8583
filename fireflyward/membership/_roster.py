"""The rules by which one row about a member replaces another."""

from dataclasses import replace

from ._members import Member, Members, MemberState
from ._news import News

_FORGET_DEAD_MS = 3_600_000


class Roster:
    """Merges rows into ``Members`` and remembers which are news to tell.

    A row is newer by its incarnation, then by its state, so that rows may come in
    any order and any number of times: merging them again changes nothing. A
    datagram that somebody recorded and sends again carries an incarnation that is
    already known, and neither revives nor kills anybody.
    """

    __slots__ = ("_dead_since_ms_by_name", "_near_and_far", "members", "news")

    def __init__(self, own: Member) -> None:
        self.members = Members(own)
        self.news = News()
        self._dead_since_ms_by_name: dict[str, int] = {}
        self._near_and_far: tuple[list[Member], list[Member]] | None = None

    @property
    def own(self) -> Member:
        return self.members.own

    def set_own(self, **changes: object) -> None:
        """Change this node's own row, which every datagram carries."""
        self.members.put(replace(self.own, **changes))

    def near(self) -> list[Member]:
        """Return the others of the own failure domain that are not dead."""
        return self._others()[0]

    def far(self) -> list[Member]:
        """Return the members of other failure domains that are not dead."""
        return self._others()[1]

    def excuse(self, name: str) -> None:
        """Take back a suspicion that this node should not have had."""
        self.news.drop(name)
        member = self.members.stored(name)
        if member is not None and member.state is MemberState.SUSPECTED:
            self.members.put(replace(member, state=MemberState.LIVE))
            self._near_and_far = None

    def merge(self, now_ms: int, row: Member) -> Member | None:
        """Take a row about another node; return the member if its row changed."""
        old = self.members.stored(row.name)
        if old is None:
            return self._add(now_ms, row)
        if not _is_newer(row, old):
            return None
        member = _merged(row, old)
        self._put(now_ms, member)
        self._tell(member)
        return member

    def set_state(self, now_ms: int, name: str, state: MemberState) -> Member:
        """Change what is known of a member by what this node found out itself."""
        member = replace(self.members.stored(name), state=state)
        self._put(now_ms, member)
        self._tell(member)
        return member

    def forget_dead(self, now_ms: int) -> None:
        """Drop members that have been dead for an hour."""
        for name, since_ms in list(self._dead_since_ms_by_name.items()):
            if now_ms - since_ms > _FORGET_DEAD_MS:
                del self._dead_since_ms_by_name[name]
                self.news.drop(name)
                self.members.forget(name)
                self._near_and_far = None

    def threat_to_own(self, row: Member) -> int | None:
        """Return the incarnation above which this node must rise, if it must.

        Somebody takes this node for dead, suspected or leaving, or knows a later
        life of it. The latter happens after a restart when the wall clock, from
        which an incarnation starts, was set back in between.
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
        self._tell(row)
        return row

    def _tell(self, member: Member) -> None:
        self.news.put(member, len(self.members.stored_all()))

    def _others(self) -> tuple[list[Member], list[Member]]:
        """Return near and far members; they are asked for far more than changed."""
        if self._near_and_far is None:
            near: list[Member] = []
            far: list[Member] = []
            own = self.own
            for member in self.members.stored_all():
                if member.name == own.name or member.state is MemberState.DEAD:
                    continue
                is_near = member.failure_domain == own.failure_domain
                (near if is_near else far).append(member)
            self._near_and_far = near, far
        return self._near_and_far

    def _put(self, now_ms: int, member: Member) -> None:
        self.members.put(member)
        self._near_and_far = None
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
