"""The inputs and outputs of the membership decisions."""

import enum
from dataclasses import dataclass

from ._members import Address, Member


class PacketKind(enum.IntEnum):
    """The kinds of membership datagrams between two nodes."""

    PROBE = 1
    ACK = 2
    PROBE_REQUEST = 3
    NEWS = 4
    SYNC = 5
    ROWS = 6


@dataclass(frozen=True, slots=True)
class DomainAge:
    """How long ago the sender, or its source, last had contact with a domain."""

    failure_domain: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class DomainDigest:
    """A hash over the sender's rows of the members of a failure domain."""

    failure_domain: str
    digest: int


@dataclass(frozen=True, slots=True)
class Packet:
    """One datagram.

    ``sender`` is the sending node's row about itself. ``number`` pairs an ACK with its
    PROBE; ``target`` is the name of the node to probe for a PROBE_REQUEST.
    ``rows`` are gossip about members; a row without a failure domain leaves out the
    address, failure domain and region.
    """

    kind: PacketKind
    sender: Member
    number: int = 0
    target: str = ""
    rows: tuple[Member, ...] = ()
    ages: tuple[DomainAge, ...] = ()
    digests: tuple[DomainDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class Tick:
    """The timer fired, about every ``Timings.tick_ms``."""


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram was received."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """The peer link is open at this address."""

    address: Address


@dataclass(frozen=True, slots=True)
class SeedsFound:
    """Addresses at which to look for nodes, from settings or the platform's list."""

    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class BundleChanged:
    """This node serves with another bundle from now on."""

    number: int


@dataclass(frozen=True, slots=True)
class LeaveStarted:
    """A planned stop of this node has begun."""


@dataclass(frozen=True, slots=True)
class LeaveDone:
    """The planned stop is complete: this node exits now."""


@dataclass(frozen=True, slots=True)
class IncarnationRaised:
    """The peer link found that a higher incarnation of this node is known."""

    incarnation: int


Message = (
    Tick
    | Received
    | LinkOpened
    | SeedsFound
    | BundleChanged
    | LeaveStarted
    | LeaveDone
    | IncarnationRaised
)


class AlarmKind(enum.StrEnum):
    """The kinds of alarms; docs/operate/take-away.md explains each to operators."""

    NODE_SUSPECTED = "node_suspected"
    NODE_DEAD = "node_dead"
    NODE_LIVE = "node_live"
    DOMAIN_UNHEARD = "domain_unheard"
    DOMAIN_HEARD = "domain_heard"
    NAME_TAKEN = "name_taken"
    PAUSED = "paused"


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: Address
    packet: Packet


@dataclass(frozen=True, slots=True)
class Alarm:
    """Raise an alarm about the node or failure domain ``name``."""

    kind: AlarmKind
    name: str


@dataclass(frozen=True, slots=True)
class SetIncarnation:
    """Set this node's incarnation to a higher value."""

    incarnation: int


Action = Send | Alarm | SetIncarnation
