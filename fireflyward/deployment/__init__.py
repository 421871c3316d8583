"""Typed values that describe a deployment; this package makes no decisions."""

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
