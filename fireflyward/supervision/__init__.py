"""What a process says of its own start, end, memory and descriptors."""

from ._exits import log_loop_errors, log_uncaught_error
from ._resources import MemoryWatch, ResourceUse, read_resource_use

__all__ = [
    "MemoryWatch",
    "ResourceUse",
    "log_loop_errors",
    "log_uncaught_error",
    "read_resource_use",
]
