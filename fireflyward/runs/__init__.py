"""Runs: from an admitted request to its one outcome."""

from ._records import RecordKept, RunRecords
from ._run import (
    AttemptEvent,
    Begin,
    CallerGone,
    Cancel,
    Choose,
    Chosen,
    Deliver,
    End,
    Resume,
    Run,
    Start,
)
from ._task import RunTask

__all__ = [
    "AttemptEvent",
    "Begin",
    "CallerGone",
    "Cancel",
    "Choose",
    "Chosen",
    "Deliver",
    "End",
    "RecordKept",
    "Resume",
    "Run",
    "RunRecords",
    "RunTask",
    "Start",
]
