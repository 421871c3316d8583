"""How a process starts, runs its tasks and ends, and what it logs of that."""

from ._allocator import return_freed_memory
from ._background import BackgroundTasks, Run
from ._exits import log_loop_errors, log_uncaught_error
from ._resources import MemoryWatch, ResourceUse, read_resource_use
from ._signals import SignalHandlers

__all__ = [
    "BackgroundTasks",
    "MemoryWatch",
    "ResourceUse",
    "Run",
    "SignalHandlers",
    "log_loop_errors",
    "log_uncaught_error",
    "read_resource_use",
    "return_freed_memory",
]
