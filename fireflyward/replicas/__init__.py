"""The known replicas, their load, and the choice of one for each request."""

from ._chooser import Choice, Chooser, Requirements
from ._cold import ColdShares
from ._directory import ReplicaDirectory
from ._in_flight_load import InFlightLoad, PeerLoad
from ._load_reports import LoadReportTask
from ._rate_limits import RateLimits
from ._state import ReplicaState

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
