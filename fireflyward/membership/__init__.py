"""Which nodes there are, in what state, and who of them owns a key."""

from ._members import Member, Members, MemberState
from ._rendezvous import owner_of, owners_of

__all__ = [
    "Member",
    "MemberState",
    "Members",
    "owner_of",
    "owners_of",
]
