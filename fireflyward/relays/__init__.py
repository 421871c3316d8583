"""Connections to replicas through other nodes, while this node's own links are cut.

A node whose links to replicas are cut off goes on serving its callers: it makes all
decisions as before, and only the bytes of its connections to replicas take the way
through a node that still reaches them.
"""

from ._choice import RelayChoice, TunnelStatus
from ._client import RelayClient
from ._connector import Connector
from ._paths import Path, ReplicaPaths
from ._server import RelayServer

__all__ = [
    "Connector",
    "Path",
    "RelayChoice",
    "RelayClient",
    "RelayServer",
    "ReplicaPaths",
    "TunnelStatus",
]
