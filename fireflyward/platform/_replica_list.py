"""The rows that replicas keep of themselves."""

import enum

import msgspec

from fireflyward.deployment import ModelWeights, ReplicaEntry

from ._decoding import decoded
from ._numbers import Figure, whole


class _State(enum.Enum):
    READY = "ready"
    LEAVING = "draining"


class _Model(msgspec.Struct, rename="kebab"):
    name: str
    version: int


class _Entry(msgspec.Struct, rename="kebab"):
    """What is told without a default stands in every entry of a replica's own."""

    service: str
    address: str
    zone: str
    # Of the replica's software; its weights have versions of their own.
    version: str
    slots: Figure
    state: _State
    # Nothing to do with feeds: the renewals that this start has made.
    sequence: int
    cold_remaining_ms: Figure
    # The wall clock at its start, in ms. Not every platform tells it.
    born: int = 0
    models: list[_Model] = []


def decode_replica(name: str, value: bytes) -> ReplicaEntry | None:
    """Decode one row; None where another writer left one that names no replica.

    The row's key names a replica, and ``started_ms`` tells its starts apart.
    """
    raw = decoded(value, _Entry)
    if raw is None or not _is_address(raw.address) or not raw.service:
        return None
    return ReplicaEntry(
        incarnation=name,
        service=raw.service,
        address=raw.address,
        failure_domain=raw.zone,
        slots=max(1, whole(raw.slots)),
        is_leaving=raw.state is _State.LEAVING,
        cold_ms=whole(raw.cold_remaining_ms),
        weights=tuple(ModelWeights(item.name, item.version) for item in raw.models),
        started_ms=raw.born,
    )


def _is_address(text: str) -> bool:
    """Tell whether a text is ``IP:PORT``.

    >>> _is_address("10.2.64.17:8729"), _is_address("10.2.64.17"), _is_address(":1")
    (True, False, False)
    """
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65_536
