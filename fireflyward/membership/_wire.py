"""Conversion of membership datagrams to and from Thrift structs."""

from typing import Any

from . import _membership_structs as structs
from ._members import Member, MemberState
from ._messages import DomainAge, DomainDigest, Packet, PacketKind

_MAX_AGE_MS = 2**31 - 1
_NO_ADDRESS = ("", 0)
_MAX_PORT = 65_535


def to_struct(packet: Packet) -> Any:
    """Return a datagram's Thrift struct; empty fields are left out."""
    return structs.Packet(
        kind=packet.kind,
        sender=_to_row(packet.sender),
        number=packet.number or None,
        target=packet.target or None,
        rows=[_to_row(row) for row in packet.rows] or None,
        ages=[
            structs.DomainAge(
                failure_domain=age.failure_domain, age_ms=min(age.age_ms, _MAX_AGE_MS)
            )
            for age in packet.ages
        ]
        or None,
        digests=[
            structs.DomainDigest(failure_domain=item.failure_domain, digest=item.digest)
            for item in packet.digests
        ]
        or None,
    )


def from_struct(struct: Any) -> Packet | None:
    """Return the datagram of a Thrift struct, None if a value is invalid."""
    try:
        return Packet(
            PacketKind(struct.kind),
            _from_row(struct.sender),
            struct.number or 0,
            struct.target or "",
            tuple(_from_row(row) for row in struct.rows or ()),
            tuple(DomainAge(a.failure_domain, a.age_ms) for a in struct.ages or ()),
            tuple(
                DomainDigest(item.failure_domain, item.digest)
                for item in struct.digests or ()
            ),
        )
    except (ValueError, AttributeError, TypeError):
        return None


def _to_row(member: Member) -> Any:
    place = None
    if member.failure_domain:
        host, port = member.address
        place = structs.Place(
            host=host,
            port=port,
            failure_domain=member.failure_domain,
            region=member.region,
        )
    return structs.Row(
        name=member.name,
        incarnation=member.incarnation,
        state=member.state,
        bundle_number=member.bundle_number,
        place=place,
    )


def _from_row(row: Any) -> Member:
    state = MemberState(row.state)
    if state is MemberState.UNHEARD or not row.name:
        raise ValueError("row without a name, or with a state that is never sent")
    if row.place is None:
        return Member(
            row.name, _NO_ADDRESS, "", "", row.incarnation, state, row.bundle_number
        )
    if not 0 < row.place.port <= _MAX_PORT:
        raise ValueError("port out of range")
    return Member(
        row.name,
        (row.place.host, row.place.port),
        row.place.failure_domain,
        row.place.region,
        row.incarnation,
        state,
        row.bundle_number,
    )
