"""Runs: each takes an admitted request to its single outcome."""

from ._attempt import Prepare
from ._budget import RetryBudget
from ._detached import finish_detached
from ._idempotency_record import (
    ClaimResult,
    EarlierAnswer,
    EarlierRun,
    IdempotencyRecord,
    Permit,
)
from ._ids import RunIds
from ._messages import (
    AttemptEvent,
    Begin,
    CallerGone,
    Cancel,
    Choose,
    Chosen,
    DeadlinePassed,
    Deliver,
    Denied,
    Dispatching,
    End,
    Mark,
    Placed,
    Resume,
    RunsElsewhere,
    Start,
    Stored,
    Wait,
    Waited,
)
from ._records import RunRecords
from ._request_record import RequestRecord
from ._run import Run
from ._service_task import ServiceTask
from ._steps import OnceStep, PromptStep, StreamStep
from ._sweep import SWEEP_INTERVAL_MS, Sweeper, SweepStep
from ._task import RunTask

__all__ = [
    "AttemptEvent",
    "Begin",
    "CallerGone",
    "Cancel",
    "Choose",
    "Chosen",
    "ClaimResult",
    "DeadlinePassed",
    "Deliver",
    "Denied",
    "Dispatching",
    "EarlierAnswer",
    "EarlierRun",
    "End",
    "SWEEP_INTERVAL_MS",
    "Mark",
    "IdempotencyRecord",
    "OnceStep",
    "Permit",
    "Placed",
    "Prepare",
    "PromptStep",
    "RequestRecord",
    "Resume",
    "RetryBudget",
    "Run",
    "RunIds",
    "RunRecords",
    "RunTask",
    "RunsElsewhere",
    "ServiceTask",
    "Start",
    "Stored",
    "StreamStep",
    "SweepStep",
    "Sweeper",
    "Wait",
    "Waited",
    "finish_detached",
]
