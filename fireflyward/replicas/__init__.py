"""Which replicas there are, and which one takes a request."""

from ._chooser import Choice, Chooser, Requirements
from ._cold import ColdShares
from ._directory import ReplicaDirectory
from ._rate_limits import RateLimits
from ._state import ReplicaState
from ._telling import LoadReportTask
from ._under_way import InFlightLoad, PeerLoad

__all__ = [
    "Choice",
    "Chooser",
    "ColdShares",
    "PeerLoad",
    "RateLimits",
    "ReplicaDirectory",
    "ReplicaState",
    "InFlightLoad",
    "LoadReportTask",
    "Requirements",
]
