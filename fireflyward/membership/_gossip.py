"""Gossip: member rows that are added to other datagrams, a few times each."""

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


class GossipQueue:
    """The member rows that still have to be sent, those sent least often first.

    Each row is sent a bounded number of times, and a datagram has room for a bounded
    number of rows. A burst of changes, such as a failure domain that comes back,
    therefore takes longer to spread instead of causing more traffic.
    """

    __slots__ = ("_item_by_name",)

    def __init__(self) -> None:
        self._item_by_name: dict[str, _Item] = {}

    def __len__(self) -> int:
        return len(self._item_by_name)

    def put(self, member: Member, member_count: int) -> None:
        """Queue a row for sending; it replaces an older row of the same member."""
        doublings = math.ceil(math.log2(member_count + 1))
        sends = max(_MIN_SENDS, _SENDS_PER_DOUBLING * doublings)
        self._item_by_name[member.name] = _Item(member, sends)

    def drop(self, name: str) -> None:
        """Stop sending the row of a member."""
        self._item_by_name.pop(name, None)

    def take_rows(
        self, count: int, *, for_other_domain: bool, without: frozenset[str]
    ) -> list[Member]:
        """Return up to ``count`` rows for one datagram and count them as sent.

        Suspicions are sent only within the failure domain of the suspected member:
        only the nodes there probe it regularly; elsewhere a suspicion has no effect.
        """
        candidates = [
            item
            for name, item in self._item_by_name.items()
            if name not in without
            and not (for_other_domain and item.member.state is MemberState.SUSPECTED)
        ]
        candidates.sort(key=lambda item: -item.sends_left)
        for item in candidates[:count]:
            item.sends_left -= 1
            if not item.sends_left:
                del self._item_by_name[item.member.name]
        return [item.member for item in candidates[:count]]


def row_bytes(member: Member) -> int:
    """Return an estimate of the bytes that a row needs in a datagram."""
    texts = (member.name, member.address[0], member.failure_domain, member.region)
    return ROW_BYTES + sum(len(text) for text in texts)


def chunks(members: list[Member], limit_bytes: int) -> list[tuple[Member, ...]]:
    """Split rows into groups that each fit into a datagram."""
    groups: list[list[Member]] = []
    bytes_left = 0
    for member in members:
        size = row_bytes(member)
        if size > bytes_left or not groups:
            groups.append([])
            bytes_left = limit_bytes
        groups[-1].append(member)
        bytes_left -= size
    return [tuple(group) for group in groups]
