"""Checks a run of the whole system against observations made from outside it."""

from ._checker import Checker
from ._observations import (
    AttemptEnded,
    AttemptStatus,
    BlockFreed,
    BlockRead,
    BlockSealed,
    BundleAccepted,
    BundleServed,
    CallerDisconnected,
    NodeLost,
    Observation,
    ReachabilityChanged,
    RequestSent,
    RunStarted,
    StopStarted,
    UpstreamLeaving,
)
from ._promises import Promise, Violation

__all__ = [
    "RequestSent",
    "BlockFreed",
    "BlockRead",
    "BlockSealed",
    "BundleAccepted",
    "BundleServed",
    "CallerDisconnected",
    "Checker",
    "AttemptEnded",
    "AttemptStatus",
    "NodeLost",
    "Observation",
    "Promise",
    "RunStarted",
    "ReachabilityChanged",
    "StopStarted",
    "UpstreamLeaving",
    "Violation",
]
