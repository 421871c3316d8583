"""Bringing replicas to the named version of their weights."""

from ._news import LoadNews
from ._plan import Order, RolloutView, WeightPlan
from ._task import WeightTask

__all__ = ["LoadNews", "Order", "RolloutView", "WeightPlan", "WeightTask"]
