"""Which failure domains this node reaches."""

from ._check import DomainCheck
from ._task import ReachTask

__all__ = ["DomainCheck", "ReachTask"]
