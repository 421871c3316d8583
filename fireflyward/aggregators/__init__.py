"""Which node of a failure domain sums up what the nodes there tell."""

from ._choice import Aggregators, Member

__all__ = ["Aggregators", "Member"]
