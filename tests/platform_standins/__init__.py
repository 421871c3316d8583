"""Small stand-ins for the users' platform: its store, its replicas and its operator.

They implement the published protocol over loopback sockets and inject faults on demand.
"""

from ._endless import ENDLESS, EndlessReplica
from ._http import RawRequest, RawServer, json_response, reset, response
from ._operator import CONFIGURATION, Operator, settings_text
from ._replica import CRASHING_BODY, Listed, ReplicaBehavior, ReplicaStandIn
from ._store import StoreBehavior, StoreStandIn

__all__ = [
    "ENDLESS",
    "EndlessReplica",
    "CONFIGURATION",
    "CRASHING_BODY",
    "Listed",
    "ReplicaBehavior",
    "Operator",
    "RawRequest",
    "RawServer",
    "ReplicaStandIn",
    "StoreBehavior",
    "StoreStandIn",
    "json_response",
    "reset",
    "response",
    "settings_text",
]
