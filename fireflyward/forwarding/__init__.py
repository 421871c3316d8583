"""Carrying one request to replicas and one whole answer back."""

from ._events import EventSplitter
from ._exchange import Reply
from ._forwarder import Forwarder
from ._messages import (
    Deliver,
    Failed,
    Finish,
    NoReplica,
    Rejected,
    RejectedBecause,
    TryAgain,
    Unsent,
    WholeAnswer,
)
from ._plan import AttemptPlan
from ._trace import Trace
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
    "RejectedBecause",
    "Reply",
    "Trace",
    "TryAgain",
    "Unsent",
    "WeightVersions",
    "WholeAnswer",
]
