"""How a process starts, runs its tasks and ends, and what it logs of that."""

from ._allocator import return_freed_memory
from ._background import BackgroundTasks, Run
from ._exits import log_loop_errors, log_uncaught_error
from ._listening import CannotListen, describe_error, listen_when_free
from ._resources import MemoryWatch, ResourceUse, read_resource_use
from ._signals import SignalHandlers
from ._streams import open_standard_streams

__all__ = [
    "BackgroundTasks",
    "CannotListen",
    "MemoryWatch",
    "ResourceUse",
    "Run",
    "SignalHandlers",
    "describe_error",
    "listen_when_free",
    "log_loop_errors",
    "log_uncaught_error",
    "open_standard_streams",
    "read_resource_use",
    "return_freed_memory",
]
