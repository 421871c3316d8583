"""Orders to an engine: what it is to be, never what it is to do."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from ._messages import Broken, EngineState


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """What a replica is to be from now on.

    The order is whole and absolute: every model with its weight version, every
    adapter as ``model/adapter``, and the role (empty leaves it). Taken twice it
    does nothing the second time, whether by its ``order_id`` or because the engine
    already is what it says. ``fencing`` is the number of the issuer's lease.
    """

    order_id: str
    fencing: int
    version_by_model: dict[str, str] = field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    role: str = ""


class OrderReason(enum.StrEnum):
    """Why an engine does not take an order."""

    OLD_FENCING = "old_fencing"
    UNKNOWN_VERSION = "unknown_version"
    NOT_NOW = "not_now"


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine did not take the order and stays what it was."""

    reason: OrderReason
    detail: str = ""
    fencing: int = 0


OrderResult = EngineState | OrderRefused | Broken


class OrderedEngine(Protocol):
    """A replica as its driver sees it; docs/platform/engine-orders.md."""

    async def send_order(self, order: EngineOrder) -> OrderResult:
        """Give an order; ``Broken.may_have_run`` says whether it may have arrived."""

    async def state(self) -> EngineState | Broken:
        """Return what the engine is now, as it says itself."""
