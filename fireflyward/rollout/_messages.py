"""The messages and actions between a rollout's decisions and its task."""

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
class DriverStarted:
    """This process drives the rollout from now on, under ``claim``."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class DriverStopped:
    """This process no longer drives the rollout."""


@dataclass(frozen=True, slots=True)
class PlanUpdated:
    """The plan of the bundle in force on this node; an older one is ignored."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer fired."""


@dataclass(frozen=True, slots=True)
class RowAnswered:
    """The answer to ``ReadRow``."""

    result: Row | Missing | Unavailable


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The answer to ``WriteRow``."""

    result: Committed | Conflict | Unavailable | Uncertain


@dataclass(frozen=True, slots=True)
class StateAnswered:
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
class HealthUpdated:
    """The counts of this node's runs, by model and weight version."""

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
    """Request the state of a replica."""

    replica: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order, if this process still holds the lease at that time."""

    replica: str
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class TakeNewFencing:
    """Replace the driver's claim of the lease by one with a higher fencing number."""


@dataclass(frozen=True, slots=True)
class StepReached:
    """A step was reached that is not a call to a replica or the table."""

    step: RolloutStep
    detail: str = ""


Message = (
    DriverStarted
    | DriverStopped
    | PlanUpdated
    | Tick
    | RowAnswered
    | WriteAnswered
    | StateAnswered
    | OrderAnswered
    | HealthUpdated
)
Action = ReadRow | WriteRow | ReadState | SendOrder | TakeNewFencing | StepReached
