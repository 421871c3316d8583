"""Clients of the platform: table service, object store, weights, list of VMs."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from ._eras import Eras
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
from ._position import Position
from ._protocols import Objects, Table, Vms, Weights
from ._store_time import StoreTime, read_ms, stored_ms

if TYPE_CHECKING:
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

# Guards and HTTP clients import HTTP sessions and connection watches. They are imported
# late, so that a process that needs only the messages, such as a fleet's node, starts
# without them.
_LATE = {
    "Breaker": "._breaker",
    "Budget": "._budget",
    "Guard": "._guard",
    "GuardedObjects": "._guard",
    "GuardedTable": "._guard",
    "GuardedVms": "._guard",
    "GuardedWeights": "._guard",
    "HttpObjects": "._http",
    "HttpTable": "._http",
    "HttpVms": "._http",
    "HttpWeights": "._http",
}


def __getattr__(name: str) -> Any:
    """Import a guard or a client on first access."""
    if name not in _LATE:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_LATE[name], __name__), name)


__all__ = [
    "Breaker",
    "Budget",
    "Committed",
    "Conflict",
    "Eras",
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
    "Position",
    "Row",
    "StoreTime",
    "Stored",
    "Table",
    "Unavailable",
    "Uncertain",
    "VmEntry",
    "VmList",
    "Vms",
    "Weights",
    "read_ms",
    "stored_ms",
]
