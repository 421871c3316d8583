"""The planned stop of a node: its steps, their order and their time limits."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

from fireflyward.clock import Clock
from fireflyward.connections import within
from fireflyward.entry import InFlightRequests
from fireflyward.steps import StepObserver

from ._lifecycle_steps import StopStep

log = logging.getLogger("fireflyward.daemon")

_POLL_MS = 20
_HANDOVER_TIMEOUT_MS = 5_000
Handover = Callable[[], Awaitable[None]]


class PlannedStop:
    """Lets every request finish before the node exits.

    First the node reports that it is not ready. The balancer then has
    ``balancer_wait_ms`` to stop sending requests, while the node still serves all of
    them. The port is closed only after that time, so that no caller is rejected because
    the balancer has not detected the stop yet. ``limit_ms`` counts from the beginning
    of the stop; ``cut`` ends the waiting at once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        in_flight: InFlightRequests,
        observe: StepObserver,
        balancer_wait_ms: int,
        limit_ms: int,
        announce_leaving: Callable[[], None],
        handovers: Sequence[Handover],
        stop_accepting: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._in_flight = in_flight
        self._observe = observe
        self._balancer_wait_ms = balancer_wait_ms
        self._limit_ms = limit_ms
        self._announce_leaving = announce_leaving
        self._handovers = tuple(handovers)
        self._stop_accepting = stop_accepting
        self._is_cut = False

    @property
    def is_cut(self) -> bool:
        """Return whether ``cut`` ended the waiting before all requests finished."""
        return self._is_cut

    def cut(self) -> None:
        """Stop waiting; requests that are still in flight are cancelled and logged."""
        self._is_cut = True

    async def run(self) -> None:
        """Perform the stop; return when no request is in flight."""
        deadline_ms = self._clock.now_ms() + self._limit_ms
        self._in_flight.begin_closing()
        self._observe(StopStep.READINESS_GONE)
        self._announce_leaving()
        self._observe(StopStep.PEERS_TOLD)
        await asyncio.gather(*map(self._within_limit, self._handovers))
        self._observe(StopStep.HANDED_ON)
        balancer_deadline_ms = min(
            self._clock.now_ms() + self._balancer_wait_ms, deadline_ms
        )
        await self._wait(balancer_deadline_ms, lambda: False)
        self._observe(StopStep.BALANCER_WAITED)
        await self._stop_accepting()
        self._observe(StopStep.KEEP_ALIVE_ENDED)
        await self._wait(deadline_ms, lambda: not self._in_flight.count)
        if not self._in_flight.count:
            self._observe(StopStep.DRAINED)
            return
        self._cut_remaining()
        self._observe(StopStep.CUT)

    async def _wait(self, until_ms: int, is_done: Callable[[], bool]) -> None:
        while self._clock.now_ms() < until_ms and not self._is_cut and not is_done():
            await self._clock.sleep_ms(_POLL_MS)

    async def _within_limit(self, handover: Handover) -> None:
        """Hand over one duty; an unavailable platform must not block the stop."""
        try:
            await within(self._clock, _HANDOVER_TIMEOUT_MS, handover())
        except TimeoutError:
            log.warning("daemon: a duty was not handed on in time and will lapse")
        except Exception as error:
            log.warning("daemon: a duty was not handed on, %r", error)

    def _cut_remaining(self) -> None:
        reason = "a second signal" if self._is_cut else "the hard limit"
        cut = self._in_flight.cut()
        log.warning("daemon: %s cuts %d requests", reason, len(cut))
        for request in cut:
            log.warning(
                "daemon: cut request %s, %s",
                request.request_id,
                request.description,
                extra={"request": request.request_id},
            )
