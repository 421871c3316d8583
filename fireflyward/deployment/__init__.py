"""Facts about a deployment, as typed values; nothing here decides."""

from ._configuration import (
    ClientAccount,
    Configuration,
    EngineShape,
    KvStore,
    Limits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from ._replicas import Evacuation, ModelWeights, ReplicaEntry, WeightTarget
from ._settings import Bounds, FleetSettings, StoreLimits

__all__ = [
    "Bounds",
    "ClientAccount",
    "Configuration",
    "EngineShape",
    "Evacuation",
    "FleetSettings",
    "KvStore",
    "Limits",
    "ModelWeights",
    "ReplicaEntry",
    "Route",
    "RouteKind",
    "Service",
    "ServiceShare",
    "StoreLimits",
    "WeightTarget",
]
