"""Which replicas there are, and which one takes a request."""

from ._chooser import Choice, Chooser, Wanted
from ._directory import ReplicaDirectory
from ._pending import PeerPending, PendingTask
from ._state import ReplicaState

__all__ = [
    "Choice",
    "Chooser",
    "PeerPending",
    "PendingTask",
    "ReplicaDirectory",
    "ReplicaState",
    "Wanted",
]
