"""Judges a run of the whole system by what was seen from outside it."""

from ._checker import Checker
from ._observations import (
    Asked,
    BlockFreed,
    BlockRead,
    BlockSealed,
    BundleAccepted,
    BundleServed,
    CallerLeft,
    Ended,
    Ending,
    NodeLost,
    Observation,
    Ran,
    Reachable,
    StopBegan,
    UpstreamLeaving,
)
from ._promises import Promise, Violation

__all__ = [
    "Asked",
    "BlockFreed",
    "BlockRead",
    "BlockSealed",
    "BundleAccepted",
    "BundleServed",
    "CallerLeft",
    "Checker",
    "Ended",
    "Ending",
    "NodeLost",
    "Observation",
    "Promise",
    "Ran",
    "Reachable",
    "StopBegan",
    "UpstreamLeaving",
    "Violation",
]
