"""Decodes the rows in which replicas register themselves."""

import enum

import msgspec

from fireflyward.decoding import (
    NonNegativeNumber,
    ReplicaAddress,
    decode_json,
    to_int,
)
from fireflyward.deployment import ModelWeights, ReplicaEntry


class _State(enum.Enum):
    READY = "ready"
    LEAVING = "draining"


class _Model(msgspec.Struct, rename="kebab"):
    name: str
    version: int


class _Entry(msgspec.Struct, rename="kebab"):
    """A replica's entry; replicas always write the fields that have no default."""

    service: str
    address: ReplicaAddress
    zone: str
    # Version of the replica's software; its weights have their own versions.
    version: str
    slots: NonNegativeNumber
    state: _State
    # How often this incarnation has renewed its entry; unrelated to feed versions.
    sequence: int
    cold_remaining_ms: NonNegativeNumber
    # Start of the replica by its wall clock, in ms. Some platforms don't report it.
    born: int = 0
    models: list[_Model] = []


def decode_replica(name: str, value: bytes) -> ReplicaEntry | None:
    """Decode one row; return None if another writer wrote a malformed entry.

    The row's key names a replica; ``started_ms`` distinguishes its incarnations.
    """
    raw = decode_json(value, _Entry)
    if raw is None or not raw.service:
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
