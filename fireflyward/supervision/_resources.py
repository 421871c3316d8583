"""Memory and file descriptors that this process uses, and the limits on both."""

import logging
import os
from dataclasses import dataclass

from fireflyward.clock import Clock

log = logging.getLogger("fireflyward.process")

_MEMORY_PATH = "/proc/self/statm"
_DESCRIPTORS_PATH = "/proc/self/fd"
_BYTES_PER_MB = 1 << 20
_WATCH_PERIOD_MS = 1_000
# The platform kills a process at its limit, which leaves no line. The last of these
# lines before the log ends tells that the memory was the cause.
_LOGGED_SHARES = (0.75, 0.9, 0.97)


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Resident memory in MB, and open descriptors; None if it cannot be read."""

    memory_mb: float | None
    descriptors: int | None

    def gauges(self) -> dict[str, float]:
        """Return the values that are known, by the names of their gauges."""
        values = {
            "process_resident_mb": self.memory_mb,
            "process_open_descriptors": self.descriptors,
        }
        return {name: value for name, value in values.items() if value is not None}


def read_resource_use() -> ResourceUse:
    """Return what this process uses now.

    >>> read_resource_use().gauges().keys() <= {
    ...     "process_resident_mb", "process_open_descriptors"
    ... }
    True
    """
    return ResourceUse(_resident_mb(), _open_descriptors())


class MemoryWatch:
    """Logs when the resident memory passes shares of its limit, in either direction.

    ``limit_mb`` is the size at which the platform kills the process.
    """

    __slots__ = ("_clock", "_is_unreadable", "_limit_mb", "_passed")

    def __init__(self, limit_mb: float, *, clock: Clock) -> None:
        self._clock = clock
        self._limit_mb = limit_mb
        self._passed = 0
        self._is_unreadable = False

    async def run(self) -> None:
        """Read the memory each second, until cancelled."""
        while not self._is_unreadable:
            self.on_size(_resident_mb())
            await self._clock.sleep_ms(_WATCH_PERIOD_MS)

    def on_size(self, memory_mb: float | None) -> None:
        """Log a size that has passed another share than the last one."""
        if memory_mb is None:
            self._is_unreadable = True
            log.warning("process: the memory in use cannot be read, nor watched")
            return
        passed = sum(memory_mb >= share * self._limit_mb for share in _LOGGED_SHARES)
        if passed != self._passed:
            level = logging.WARNING if passed > self._passed else logging.INFO
            log.log(
                level,
                "process: %.0f of %.0f MB of memory in use",
                memory_mb,
                self._limit_mb,
            )
        self._passed = passed


def _resident_mb() -> float | None:
    try:
        with open(_MEMORY_PATH, "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE") / _BYTES_PER_MB


def _open_descriptors() -> int | None:
    try:
        return len(os.listdir(_DESCRIPTORS_PATH))
    except OSError:
        return None
