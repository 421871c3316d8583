"""The known replicas, their load, and the choice of one for each request."""

from ._chooser import Choice, Chooser
from ._cold import ColdShares
from ._cost_terms import CandidateFilter, CostTerm
from ._directory import ReplicaDirectory
from ._in_flight_load import InFlightLoad, PeerLoad
from ._load_reports import LoadReportTask
from ._rate_limits import RateLimits
from ._requirements import LoadEstimate, Requirements
from ._state import ReplicaState

__all__ = [
    "CandidateFilter",
    "Choice",
    "Chooser",
    "ColdShares",
    "CostTerm",
    "PeerLoad",
    "RateLimits",
    "ReplicaDirectory",
    "ReplicaState",
    "InFlightLoad",
    "LoadEstimate",
    "LoadReportTask",
    "Requirements",
]
