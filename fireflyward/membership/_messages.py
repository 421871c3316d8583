"""What goes into the membership decision and what comes out of it."""

import enum
from dataclasses import dataclass

from ._members import Address, Member


class PacketKind(enum.IntEnum):
    """The kinds of datagrams between the membership of two nodes."""

    PROBE = 1
    ACK = 2
    PROBE_REQUEST = 3
    NEWS = 4
    SYNC = 5
    ROWS = 6


@dataclass(frozen=True, slots=True)
class DomainAge:
    """How long ago the sender, or whoever told it, heard a failure domain."""

    failure_domain: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class DomainDigest:
    """A hash over what the sender knows of the members of a failure domain."""

    failure_domain: str
    digest: int


@dataclass(frozen=True, slots=True)
class Packet:
    """One datagram.

    ``sender`` is the sending node as it knows itself. ``number`` pairs an ACK
    with its PROBE; ``target`` names whom a PROBE_REQUEST asks to probe. ``rows``
    are pieces of news; a row without a failure domain tells nothing of the place.
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
    """Time has passed; comes every ``Timings.tick_ms`` or so."""


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram came in."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class AddressKnown:
    """The peer link is open at this address."""

    address: Address


@dataclass(frozen=True, slots=True)
class SeedsFound:
    """Addresses where nodes may be, from settings or the platform's list."""

    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class BundleChanged:
    """This node serves by another bundle from now on."""

    number: int


@dataclass(frozen=True, slots=True)
class LeaveStarted:
    """A planned stop of this node has begun."""


@dataclass(frozen=True, slots=True)
class LeaveDone:
    """This node goes now."""


@dataclass(frozen=True, slots=True)
class IncarnationRaised:
    """The peer link found that a higher incarnation of this node is known."""

    incarnation: int


Message = (
    Tick
    | Received
    | AddressKnown
    | SeedsFound
    | BundleChanged
    | LeaveStarted
    | LeaveDone
    | IncarnationRaised
)


class AlarmKind(enum.StrEnum):
    """What operators are told; docs/operate/take-away.md says what each means."""

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
    """Tell operators; ``name`` is a node's or a failure domain's."""

    kind: AlarmKind
    name: str


@dataclass(frozen=True, slots=True)
class SetIncarnation:
    """This node's incarnation is higher from now on."""

    incarnation: int


Action = Send | Alarm | SetIncarnation
