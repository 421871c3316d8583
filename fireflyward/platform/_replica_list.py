"""The rows that replicas keep of themselves."""

import msgspec

from fireflyward.deployment import ModelWeights, ReplicaEntry

_LEAVING = "draining"


class _Model(msgspec.Struct, rename="kebab"):
    name: str
    version: int


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0
    # What ``version`` says there is the replica's software, not its weights.
    models: list[_Model] = []


def decode_replica(incarnation: str, value: bytes) -> ReplicaEntry:
    """Decode one row, whose key names an incarnation of a replica."""
    raw = msgspec.json.decode(value, type=_Entry)
    return ReplicaEntry(
        incarnation=incarnation,
        service=raw.service,
        address=raw.address,
        failure_domain=raw.zone,
        slots=raw.slots,
        is_leaving=raw.state == _LEAVING,
        cold_ms=int(raw.cold_remaining_ms),
        weights=tuple(ModelWeights(item.name, item.version) for item in raw.models),
    )
