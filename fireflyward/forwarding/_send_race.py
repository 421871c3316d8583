"""Runs a send and at most one second send, until one response has ended."""

import asyncio
import logging
import sys
from collections.abc import Callable, Coroutine

from fireflyward.clock import Clock
from fireflyward.hedging import SecondSendReason

from ._messages import SendResult, Superseded

log = logging.getLogger("fireflyward.forwarding")

_Send = Coroutine[object, object, SendResult | Superseded | None]


class SendRace:
    """Two sends of one request, of which only one may forward its response.

    The first send that calls ``claim`` wins, and the other one is cancelled, which
    closes its connection. Both run in this event loop, so from the call on the other
    send does not continue. If this race is cancelled, both are.
    """

    __slots__ = ("_clock", "_tasks", "_woken", "winner")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks: list[asyncio.Task[SendResult | Superseded | None]] = []
        self._woken: asyncio.Future[SecondSendReason] | None = None
        self.winner: int | None = None

    def claim(self, number: int) -> bool:
        """Let send 0 or 1 forward its response, unless the other one does."""
        if self.winner is None:
            self.winner = number
            for other, task in enumerate(self._tasks):
                if other != number:
                    task.cancel()
        return self.winner == number

    def on_unresponsive(self) -> None:
        """Consider a second send now: the first one's replica does not respond."""
        self._wake(SecondSendReason.UNRESPONSIVE)

    async def run(
        self,
        first: _Send,
        begin_second: Callable[[SecondSendReason], _Send | None],
        *,
        overdue_ms: float | None,
    ) -> list[tuple[int, SendResult]]:
        """Return number and result of each send not cancelled; the winner's is last.

        ``begin_second`` returns None if there is no second send for this reason.
        """
        self._woken = asyncio.get_running_loop().create_future()
        timer = None
        if overdue_ms is not None:
            timer = self._clock.call_later_ms(overdue_ms, self._on_overdue)
        self._tasks.append(asyncio.create_task(first))
        try:
            return await self._collect(begin_second)
        finally:
            if timer is not None:
                timer.cancel()
            for task in self._tasks:
                task.cancel()
            results = await asyncio.gather(*self._tasks, return_exceptions=True)
            for error in results:
                # A write to a caller that has disconnected is no failure of a send.
                if isinstance(error, ConnectionError):
                    continue
                if isinstance(error, Exception) and error is not sys.exception():
                    message = "forwarding: a send failed with an unexpected exception"
                    log.error(message, exc_info=error)
            # The traceback of a cancelled send refers to its body and to this race.
            self._tasks.clear()

    async def _collect(
        self, begin_second: Callable[[SecondSendReason], _Send | None]
    ) -> list[tuple[int, SendResult]]:
        result_by_number: dict[int, SendResult] = {}
        pending = set(self._tasks)
        while pending:
            waits = {*pending, self._woken} if len(self._tasks) == 1 else pending
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if self._woken in done and not pending & done and self.winner is None:
                reason = self._woken.result()
                self._woken = asyncio.get_running_loop().create_future()
                second = begin_second(reason)
                if second is not None:
                    self._tasks.append(asyncio.create_task(second))
                    pending.add(self._tasks[1])
            elif self._woken in done:
                self._woken = asyncio.get_running_loop().create_future()
            for task in pending & done:
                pending.discard(task)
                number = self._tasks.index(task)
                result = self._result_of(number)
                if result is not None and not isinstance(result, Superseded):
                    result_by_number[number] = result
        # Both may end in the same iteration of the event loop.
        order = (1, 0) if self.winner == 0 else (0, 1)
        return [
            (each, result_by_number[each]) for each in order if each in result_by_number
        ]

    def _result_of(self, number: int) -> SendResult | Superseded | None:
        task = self._tasks[number]
        if task.cancelled():
            return None
        if self.winner not in (None, number) and task.exception() is not None:
            # It does not end the response that is forwarded; ``run`` logs it.
            return None
        return task.result()

    def _on_overdue(self) -> None:
        self._wake(SecondSendReason.SLOW)

    def _wake(self, reason: SecondSendReason) -> None:
        if self._woken is not None and not self._woken.done():
            self._woken.set_result(reason)
