"""News that ride on other datagrams, each a bounded number of times."""

import math
from dataclasses import dataclass

from ._members import Member, MemberState

_SENDS_PER_DOUBLING = 3
_MIN_SENDS = 6
ROW_BYTES = 48


@dataclass(slots=True)
class _Item:
    member: Member
    sends_left: int


class News:
    """The rows that still have to be told, least told first.

    How many fit into one datagram is bounded, so a burst of changes (a failure
    domain that comes back) takes longer to tell instead of costing more.
    """

    __slots__ = ("_item_by_name",)

    def __init__(self) -> None:
        self._item_by_name: dict[str, _Item] = {}

    def __len__(self) -> int:
        return len(self._item_by_name)

    def put(self, member: Member, known: int) -> None:
        """Tell a row; it replaces an older one of the same member."""
        doublings = math.ceil(math.log2(known + 1))
        sends = max(_MIN_SENDS, _SENDS_PER_DOUBLING * doublings)
        self._item_by_name[member.name] = _Item(member, sends)

    def drop(self, name: str) -> None:
        """Stop telling of a member."""
        self._item_by_name.pop(name, None)

    def take(
        self, count: int, *, for_other_domain: bool, without: frozenset[str]
    ) -> list[Member]:
        """Return up to ``count`` rows for one datagram and count them as told.

        Suspicions stay in their failure domain: only its nodes can probe well
        enough to settle them, and elsewhere nothing follows from them.
        """
        able = [
            item
            for name, item in self._item_by_name.items()
            if name not in without
            and not (for_other_domain and item.member.state is MemberState.SUSPECTED)
        ]
        able.sort(key=lambda item: -item.sends_left)
        for item in able[:count]:
            item.sends_left -= 1
            if not item.sends_left:
                del self._item_by_name[item.member.name]
        return [item.member for item in able[:count]]


def row_bytes(member: Member) -> int:
    """Return about how many bytes a row takes in a datagram."""
    texts = (member.name, member.address[0], member.failure_domain, member.region)
    return ROW_BYTES + sum(len(text) for text in texts)


def chunks(members: list[Member], limit_bytes: int) -> list[tuple[Member, ...]]:
    """Cut rows into groups that each fit into a datagram."""
    groups: list[list[Member]] = []
    left = 0
    for member in members:
        size = row_bytes(member)
        if size > left or not groups:
            groups.append([])
            left = limit_bytes
        groups[-1].append(member)
        left -= size
    return [tuple(group) for group in groups]
