"""Forwards each request to replicas and returns one complete answer to its caller."""

from ._events import EventSplitter
from ._exchange import Reply
from ._forwarder import Forwarder
from ._messages import (
    Deliver,
    Failed,
    Finish,
    NoReplica,
    Rejected,
    RejectionReason,
    TryAgain,
    Unsent,
    WholeAnswer,
    Withdrawn,
)
from ._plan import AttemptPlan
from ._trace import Trace
from ._waiting_sends import WaitingSends, WithdrawalTask
from ._weights import WeightVersions

__all__ = [
    "AttemptPlan",
    "Deliver",
    "EventSplitter",
    "Failed",
    "Finish",
    "Forwarder",
    "NoReplica",
    "Rejected",
    "RejectionReason",
    "Reply",
    "Trace",
    "TryAgain",
    "Unsent",
    "WaitingSends",
    "WeightVersions",
    "WholeAnswer",
    "WithdrawalTask",
    "Withdrawn",
]
