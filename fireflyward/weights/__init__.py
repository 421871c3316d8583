"""Orders replicas to load the target version of their weights."""

from ._announcer import LoadAnnouncer
from ._plan import Order, ReplicaView, WeightPlan
from ._progress import OrderProgress
from ._task import WeightTask

__all__ = [
    "LoadAnnouncer",
    "Order",
    "OrderProgress",
    "ReplicaView",
    "WeightPlan",
    "WeightTask",
]
