"""The known replicas, their load, and the choice of one for each request."""

from ._backpressure import ReportedLimit
from ._brittle import BrittleLimits
from ._choice import Choice
from ._chooser import Chooser
from ._cold import ColdShares
from ._cost_terms import CandidateFilter, CostTerm
from ._directory import ListConfirmation, ReplicaDirectory
from ._in_flight_load import InFlightLoad, PeerLoad
from ._kv_room import KvRoom
from ._load_reports import LoadReportTask
from ._outages import StoreOutages
from ._rate_limits import RateLimits
from ._requirements import LoadEstimate, Requirements
from ._shared_prefix import SharedPrefix
from ._speed import SPEED_EXPIRY_MS, ReplicaSpeed, SpeedReading
from ._state import ReplicaState

__all__ = [
    "SPEED_EXPIRY_MS",
    "BrittleLimits",
    "CandidateFilter",
    "Choice",
    "Chooser",
    "ColdShares",
    "CostTerm",
    "PeerLoad",
    "RateLimits",
    "ReplicaDirectory",
    "ReplicaSpeed",
    "ReplicaState",
    "InFlightLoad",
    "KvRoom",
    "ListConfirmation",
    "LoadEstimate",
    "LoadReportTask",
    "Requirements",
    "SharedPrefix",
    "SpeedReading",
    "ReportedLimit",
    "StoreOutages",
]
