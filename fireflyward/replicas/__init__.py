"""The known replicas, their load, and the choice of one for each request."""

from ._choice import Choice
from ._chooser import Chooser
from ._cold import ColdShares
from ._cost_terms import CandidateFilter, CostTerm
from ._directory import ReplicaDirectory
from ._in_flight_load import InFlightLoad, PeerLoad
from ._kv_room import KvRoom
from ._load_reports import LoadReportTask
from ._rate_limits import RateLimits
from ._requirements import LoadEstimate, Requirements, SharedPrefix
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
    "KvRoom",
    "LoadEstimate",
    "LoadReportTask",
    "Requirements",
    "SharedPrefix",
]
