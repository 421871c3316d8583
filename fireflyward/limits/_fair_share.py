"""Weighted max-min shares of a capacity; used wherever accounts compete."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

_Name = TypeVar("_Name", bound=Hashable)


def share_of_weights(weight: float, weight_of_others: float) -> float:
    """Return the share of one participant if all of them want more than they get.

    >>> share_of_weights(1, 3)
    0.25
    """
    return weight / (weight + weight_of_others)


def fair_shares(
    capacity: float,
    demand_by_name: Mapping[_Name, float],
    weights: Mapping[_Name, float],
) -> dict[_Name, float]:
    """Divide a capacity so that no share can grow except at the cost of a smaller one.

    Shares are compared per weight, and a missing weight is 1. Nobody gets more than its
    demand, and what it leaves is divided among the others.

    >>> fair_shares(10, {"large": 20, "medium": 5, "small": 1}, {})
    {'small': 1, 'medium': 4.5, 'large': 4.5}
    """
    shares: dict[_Name, float] = {}
    left = max(0.0, capacity)
    weight_left = sum(weights.get(name, 1.0) for name in demand_by_name)
    for name in sorted(
        demand_by_name, key=lambda name: demand_by_name[name] / weights.get(name, 1.0)
    ):
        weight = weights.get(name, 1.0)
        others = max(0.0, weight_left - weight)
        share = min(demand_by_name[name], left * share_of_weights(weight, others))
        shares[name] = share
        left, weight_left = max(0.0, left - share), others
    return shares
