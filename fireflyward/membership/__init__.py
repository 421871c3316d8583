"""Membership: which nodes exist, the state of each, and which node owns a key."""

from ._members import Address, Member, Members, MemberState
from ._membership import Membership
from ._membership_structs import Packet as PacketStruct
from ._messages import (
    Action,
    Alarm,
    AlarmKind,
    BundleChanged,
    DomainAge,
    DomainDigest,
    IncarnationRaised,
    LeaveDone,
    LeaveStarted,
    LinkOpened,
    Message,
    Packet,
    PacketKind,
    Received,
    SeedsFound,
    Send,
    SetIncarnation,
    Tick,
)
from ._probing import Timings
from ._rendezvous import SteadyMembers, owner_of, owners_of
from ._task import MembershipTask
from ._wire import from_struct, to_struct

__all__ = [
    "Action",
    "Address",
    "Alarm",
    "AlarmKind",
    "BundleChanged",
    "DomainAge",
    "DomainDigest",
    "IncarnationRaised",
    "LeaveDone",
    "LeaveStarted",
    "LinkOpened",
    "Member",
    "MemberState",
    "Members",
    "Membership",
    "MembershipTask",
    "Message",
    "Packet",
    "PacketKind",
    "PacketStruct",
    "Received",
    "SeedsFound",
    "Send",
    "SetIncarnation",
    "SteadyMembers",
    "Tick",
    "Timings",
    "from_struct",
    "owner_of",
    "owners_of",
    "to_struct",
]
