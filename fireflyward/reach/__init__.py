"""Detection of failure domains that this node cannot reach."""

from ._check import DomainCheck, DomainReach
from ._task import ReachTask

__all__ = ["DomainCheck", "DomainReach", "ReachTask"]
