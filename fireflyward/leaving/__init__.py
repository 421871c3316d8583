"""Detection of leaving upstreams, by the VM list or by another node."""

from ._task import LeavingTask
from ._upstreams import LeavingUpstreams

__all__ = ["LeavingUpstreams", "LeavingTask"]
