"""What the platform gives: table service, object store, weights, list of VMs."""

from ._breaker import Breaker
from ._budget import Budget
from ._guard import (
    Guard,
    GuardedObjects,
    GuardedTable,
    GuardedVms,
    GuardedWeights,
)
from ._http import HttpObjects, HttpTable, HttpVms, HttpWeights
from ._messages import (
    Committed,
    Conflict,
    Missing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
    VmEntry,
    VmList,
)
from ._protocols import Objects, Table, Vms, Weights

__all__ = [
    "Breaker",
    "Budget",
    "Committed",
    "Conflict",
    "Guard",
    "GuardedObjects",
    "GuardedTable",
    "GuardedVms",
    "GuardedWeights",
    "HttpObjects",
    "HttpTable",
    "HttpVms",
    "HttpWeights",
    "Missing",
    "Objects",
    "Row",
    "Stored",
    "Table",
    "Unavailable",
    "Uncertain",
    "VmEntry",
    "VmList",
    "Vms",
    "Weights",
]
