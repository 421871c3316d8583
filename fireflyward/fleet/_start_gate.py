"""Requests that come before a node knows what it serves."""

import asyncio
from collections.abc import Callable

from fireflyward.clock import Clock, within_ms
from fireflyward.feeds import Followed

# Tables are read a tenth of a second after a node listens; one that needs longer does
# not know for how long, and its callers do better elsewhere.
_MAX_WAIT_MS = 500


class StartGate:
    """Has the first requests wait until this node has read its tables.

    After a loss of power callers come back as soon as a node listens, and most have
    one retry. Refused then, they spend it on the next node, which knows as little.
    Once open, the gate stays so.
    """

    __slots__ = ("_clock", "_is_open")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_open = asyncio.Event()

    def opening_listener(
        self, on_update: Callable[[Followed], None], *, is_ready: Callable[[], bool]
    ) -> Callable[[Followed], None]:
        """Return a listener that opens the gate once its news make this node ready."""

        def apply_and_check(update: Followed) -> None:
            on_update(update)
            if is_ready():
                self.open()

        return apply_and_check

    def open(self) -> None:
        """Let everything pass from now on."""
        self._is_open.set()

    async def passed(self) -> None:
        """Return once the gate is open, or after the longest wait."""
        if not self._is_open.is_set():
            await within_ms(self._clock, _MAX_WAIT_MS, self._is_open.wait())
