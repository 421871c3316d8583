"""Orders to an engine: each describes a desired state, not actions to perform."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from fireflyward.decoding import Count

from ._messages import Broken, EngineState


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """The desired state of a replica.

    The order is complete: it lists every model with its weight version, every
    adapter as ``model/adapter``, and the role (an empty role keeps the current one).
    An engine that receives an order again does nothing, either because of its
    ``order_id`` or because the engine is already in the desired state. ``fencing``
    is the number of the issuer's lease.
    """

    order_id: str
    fencing: int
    version_by_model: dict[str, str] = field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    role: str = ""


class OrderReason(enum.StrEnum):
    """Why an engine rejects an order."""

    OLD_FENCING = "old_fencing"
    UNKNOWN_VERSION = "unknown_version"
    NOT_NOW = "not_now"


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine rejected the order and keeps its state."""

    reason: OrderReason
    detail: str = ""
    fencing: Count = 0


OrderResult = EngineState | OrderRefused | Broken


class OrderedEngine(Protocol):
    """A replica that accepts orders; see docs/platform/engine-orders.md."""

    async def send_order(self, order: EngineOrder) -> OrderResult:
        """Send an order; ``Broken.may_have_run`` says whether it may have arrived."""

    async def state(self) -> EngineState | Broken:
        """Return the state that the engine reports."""
