"""Selects the node that sums up the load reports of its failure domain."""

from ._choice import Aggregators, Member

__all__ = ["Aggregators", "Member"]
