"""Rollouts: bring replicas to the state of the bundle while keeping capacity."""

from ._budget import LoadBudget
from ._health import Health, HealthWatch, WatchedEngine, regression
from ._limits import RolloutLimits
from ._messages import (
    DriverStarted,
    DriverStopped,
    HealthUpdated,
    OrderAnswered,
    PlanUpdated,
    ReadRow,
    ReadState,
    RowAnswered,
    SendOrder,
    StateAnswered,
    StepReached,
    Tick,
    WriteAnswered,
    WriteRow,
)
from ._plan import Plan, Target, plan_of
from ._rollout import Rollout
from ._row import (
    ROLLOUT_KEY,
    LoadClaim,
    Phase,
    RolloutRow,
    VersionShare,
    decode_row,
    encode_row,
)
from ._serving import ServingVersions
from ._shares import shares_of
from ._status import status_lines
from ._steps import RolloutStep
from ._task import LEASE_NAME, RolloutTask

__all__ = [
    "LEASE_NAME",
    "ROLLOUT_KEY",
    "DriverStarted",
    "DriverStopped",
    "Health",
    "HealthUpdated",
    "HealthWatch",
    "LoadBudget",
    "LoadClaim",
    "OrderAnswered",
    "Phase",
    "Plan",
    "PlanUpdated",
    "ReadRow",
    "ReadState",
    "Rollout",
    "RolloutLimits",
    "RolloutRow",
    "RolloutStep",
    "RolloutTask",
    "RowAnswered",
    "SendOrder",
    "ServingVersions",
    "StateAnswered",
    "StepReached",
    "Target",
    "Tick",
    "VersionShare",
    "WatchedEngine",
    "WriteAnswered",
    "WriteRow",
    "decode_row",
    "encode_row",
    "plan_of",
    "regression",
    "shares_of",
    "status_lines",
]
