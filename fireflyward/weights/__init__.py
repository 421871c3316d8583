"""Bringing replicas to the named version of their weights."""

from ._plan import Loading, Order, RolloutView, WeightPlan
from ._task import WeightTask

__all__ = ["Loading", "Order", "RolloutView", "WeightPlan", "WeightTask"]
