"""Holds requests that arrive before a node has read its tables."""

import asyncio
from collections.abc import Callable

from fireflyward.clock import Clock, within_ms
from fireflyward.feeds import TableUpdate

# A node has normally read its tables 100 ms after it starts to listen. If that takes
# longer, the remaining time is unknown, and callers should try another node.
_MAX_WAIT_MS = 500


class StartGate:
    """Lets the first requests wait until this node has read its tables.

    After a loss of power, callers reconnect as soon as a node listens, and most of them
    have one retry. If the node rejected them, they would use the retry on another node
    that isn't ready either. Once open, the gate stays open.
    """

    __slots__ = ("_clock", "_is_open")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_open = asyncio.Event()

    def opening_listener(
        self, on_update: Callable[[TableUpdate], None], *, is_ready: Callable[[], bool]
    ) -> Callable[[TableUpdate], None]:
        """Return a listener that opens the gate once this node is ready."""

        def apply_and_check(update: TableUpdate) -> None:
            on_update(update)
            if is_ready():
                self.open()

        return apply_and_check

    def open(self) -> None:
        """Let all requests pass from now on."""
        self._is_open.set()

    async def wait_until_open(self) -> None:
        """Return once the gate is open, or after ``_MAX_WAIT_MS``."""
        if not self._is_open.is_set():
            await within_ms(self._clock, _MAX_WAIT_MS, self._is_open.wait())
