"""Decodes the rows in which replicas register themselves."""

import enum

import msgspec

from fireflyward.decoding import (
    Count,
    Name,
    ReplicaAddress,
    SmallNumber,
    decode_json,
    is_header_text,
    to_int,
)
from fireflyward.deployment import ModelWeights, ReplicaEntry


class _State(enum.Enum):
    READY = "ready"
    LEAVING = "draining"


class _Model(msgspec.Struct, rename="kebab"):
    name: Name
    version: Count


class _Entry(msgspec.Struct, rename="kebab"):
    """A replica's entry; replicas always write the fields that have no default."""

    service: Name
    address: ReplicaAddress
    zone: Name
    # Version of the replica's software; its weights have their own versions.
    version: Name
    slots: SmallNumber
    state: _State
    # How often this incarnation has renewed its entry; unrelated to feed versions.
    sequence: Count
    cold_remaining_ms: SmallNumber
    # Start of the replica by its wall clock, in ms. Some platforms don't report it.
    born: Count = 0
    models: list[_Model] = []


def decode_replica(name: str, value: bytes) -> ReplicaEntry | None:
    """Decode one row; return None if another writer wrote a malformed entry.

    The row's key names a replica; ``started_ms`` distinguishes its incarnations.
    """
    raw = decode_json(value, _Entry)
    if raw is None or not raw.service or not is_header_text(name):
        return None
    return ReplicaEntry(
        incarnation=name,
        service=raw.service,
        address=raw.address,
        failure_domain=raw.zone,
        slots=max(1, to_int(raw.slots)),
        is_leaving=raw.state is _State.LEAVING,
        cold_ms=to_int(raw.cold_remaining_ms),
        weights=tuple(ModelWeights(item.name, item.version) for item in raw.models),
        started_ms=raw.born,
        software=raw.version,
    )
