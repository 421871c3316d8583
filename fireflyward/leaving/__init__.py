"""Which upstreams leave, by whichever sign comes first."""

from ._signs import LeavingSigns
from ._task import LeavingTask

__all__ = ["LeavingSigns", "LeavingTask"]
