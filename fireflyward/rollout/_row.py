"""The table row of a rollout: the state that the next driver needs."""

import logging

import msgspec

from fireflyward.decoding import Count, decode_json

log = logging.getLogger("fireflyward.rollout")

ROLLOUT_KEY = "rollout/state"


class Phase:
    """The phases of a rollout, as they are stored in the row."""

    IDLE = "idle"
    RUNNING = "running"
    HELD = "held"
    DONE = "done"


class LoadClaim(msgspec.Struct, frozen=True):
    """One of the two loads that may be in progress: a replica and its full order.

    The claim is written to the table before the order is sent, and removed after the
    replica has confirmed or rejected it. The next driver sends the same order with the
    same id, so an order that was lost or is late can't have an effect twice.
    """

    replica: str
    bundle_number: int
    order_id: str
    version_by_model: dict[str, str]
    adapters: tuple[str, ...] = ()
    role: str = ""
    changes: tuple[str, ...] = ()


class VersionShare(msgspec.Struct, frozen=True):
    """A weight version and the share of new requests up to and including it.

    ``up_to`` is a percentage over the list of a model's versions, newest first;
    a request at point p is served by the first version whose ``up_to`` exceeds p.
    """

    version: str
    up_to: int


class RolloutRow(msgspec.Struct, frozen=True):
    """The state of the one current rollout; rollouts never overlap."""

    fencing: Count = 0
    bundle_number: Count = 0
    phase: str = Phase.IDLE
    claims: tuple[LoadClaim, ...] = ()
    shares_by_model: dict[str, tuple[VersionShare, ...]] = {}
    held_because: str = ""
    next_step: str = ""
    confirmed: Count = 0
    total: Count = 0
    unreachable: tuple[str, ...] = ()

    def changed(self, **changes: object) -> "RolloutRow":
        """Return a copy with some fields changed."""
        return msgspec.structs.replace(self, **changes)


def encode_row(row: RolloutRow) -> bytes:
    """Return the row as it is stored in the table."""
    return msgspec.json.encode(row)


def decode_row(value: bytes) -> RolloutRow | None:
    """Return the row that ``encode_row`` encoded, None if another writer spoilt it."""
    row = decode_json(value, RolloutRow)
    if row is None:
        log.warning("rollout: the row of %d bytes is unreadable", len(value))
    return row
