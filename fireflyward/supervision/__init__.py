"""The background tasks of a process, its memory and what it logs of its end."""

from ._allocator import return_freed_memory
from ._background import BackgroundTasks, Run
from ._exits import log_loop_errors, log_uncaught_error
from ._resources import MemoryWatch, ResourceUse, read_resource_use

__all__ = [
    "BackgroundTasks",
    "MemoryWatch",
    "ResourceUse",
    "Run",
    "log_loop_errors",
    "log_uncaught_error",
    "read_resource_use",
    "return_freed_memory",
]
