"""What passes between the decisions of a rollout and its task."""

from dataclasses import dataclass

from fireflyward.backing import (
    Committed,
    Conflict,
    Missing,
    Row,
    Unavailable,
    Uncertain,
)
from fireflyward.leases import Claim
from fireflyward.upstreams import Broken, EngineOrder, EngineState, OrderResult

from ._health import Health
from ._plan import Plan
from ._row import RolloutRow
from ._steps import RolloutStep


@dataclass(frozen=True, slots=True)
class Began:
    """This process drives from now on, under ``claim``."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Ended:
    """This process does not drive any more."""


@dataclass(frozen=True, slots=True)
class PlanSeen:
    """A bundle is in force here; a lower number than before is ignored."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class RowSeen:
    """The answer to ``ReadRow``."""

    result: Row | Missing | Unavailable


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The answer to ``WriteRow``."""

    result: Committed | Conflict | Unavailable | Uncertain


@dataclass(frozen=True, slots=True)
class StateSeen:
    """The answer to ``ReadState``."""

    replica: str
    result: EngineState | Broken


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """The answer to ``SendOrder``."""

    replica: str
    order_id: str
    result: OrderResult


@dataclass(frozen=True, slots=True)
class HealthSeen:
    """How runs went lately, by model and weight version."""

    health_by_version: dict[tuple[str, str], Health]


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the rollout's row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row if it still has the version ``expected``."""

    expected: int
    row: RolloutRow
    step: RolloutStep


@dataclass(frozen=True, slots=True)
class ReadState:
    """Ask a replica what it is."""

    replica: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give an order, if the lease is still held when it goes out."""

    replica: str
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class Reached:
    """A step was reached that is no call."""

    step: RolloutStep
    detail: str = ""


Message = (
    Began
    | Ended
    | PlanSeen
    | Tick
    | RowSeen
    | WriteAnswered
    | StateSeen
    | OrderAnswered
    | HealthSeen
)
Action = ReadRow | WriteRow | ReadState | SendOrder | Reached
