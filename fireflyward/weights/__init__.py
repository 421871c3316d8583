"""Bringing replicas to the named version of their weights."""

from ._news import LoadAnnouncer
from ._plan import Order, RolloutView, WeightPlan
from ._task import WeightTask

__all__ = ["LoadAnnouncer", "Order", "RolloutView", "WeightPlan", "WeightTask"]
