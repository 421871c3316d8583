"""Which upstreams leave, by whichever sign comes first."""

from ._signs import LeavingUpstreams
from ._task import LeavingTask

__all__ = ["LeavingUpstreams", "LeavingTask"]
