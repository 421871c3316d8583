"""Requests that come before a node knows what it serves."""

import asyncio
from collections.abc import Callable

from fireflyward.clock import Clock, within_ms
from fireflyward.feeds import TableUpdate

# Tables are read a tenth of a second after a node listens; one that needs longer does
# not know for how long, and its callers do better elsewhere.
_LONGEST_MS = 500


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

    def opened_by(
        self, take: Callable[[TableUpdate], None], *, is_ready: Callable[[], bool]
    ) -> Callable[[TableUpdate], None]:
        """Return a listener that opens the gate once its news make this node ready."""

        def take_and_look(news: TableUpdate) -> None:
            take(news)
            if is_ready():
                self.open()

        return take_and_look

    def open(self) -> None:
        """Let everything pass from now on."""
        self._is_open.set()

    async def passed(self) -> None:
        """Return once the gate is open, or after the longest wait."""
        if not self._is_open.is_set():
            await within_ms(self._clock, _LONGEST_MS, self._is_open.wait())
