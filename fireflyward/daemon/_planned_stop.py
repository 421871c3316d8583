"""A planned stop: what is told to whom in which order, and how long it may take."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

from fireflyward.clock import Clock
from fireflyward.connections import within
from fireflyward.entry import InFlight
from fireflyward.steps import StepObserver

from ._lifecycle_steps import StopStep

log = logging.getLogger("fireflyward.daemon")

_POLL_MS = 20
_HAND_ON_LIMIT_MS = 5_000
HandOn = Callable[[], Awaitable[None]]


class PlannedStop:
    """Lets every request run out before the node goes.

    Readiness goes first, then the balancer has ``balancer_wait_ms`` to notice
    while the node still serves whatever comes. Only then is the port closed, so
    that nobody is refused who could not know. ``limit_ms`` counts from the start;
    ``cut`` ends the waiting at once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        in_flight: InFlight,
        observe: StepObserver,
        balancer_wait_ms: int,
        limit_ms: int,
        tell_peers: Callable[[], None],
        hand_on: Sequence[HandOn],
        stop_accepting: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._in_flight = in_flight
        self._observe = observe
        self._balancer_wait_ms = balancer_wait_ms
        self._limit_ms = limit_ms
        self._tell_peers = tell_peers
        self._hand_on = tuple(hand_on)
        self._stop_accepting = stop_accepting
        self._is_cut = False

    @property
    def is_cut(self) -> bool:
        """Tell whether the waiting was ended before everything had run out."""
        return self._is_cut

    def cut(self) -> None:
        """Stop waiting; what is still under way is ended and logged."""
        self._is_cut = True

    async def run(self) -> None:
        """Go through the stop; returns when nothing is under way any more."""
        ends_ms = self._clock.now_ms() + self._limit_ms
        self._in_flight.begin_closing()
        self._observe(StopStep.READINESS_GONE)
        self._tell_peers()
        self._observe(StopStep.PEERS_TOLD)
        await asyncio.gather(*map(self._within_limit, self._hand_on))
        self._observe(StopStep.HANDED_ON)
        waited_ms = min(self._clock.now_ms() + self._balancer_wait_ms, ends_ms)
        await self._wait(waited_ms, lambda: False)
        self._observe(StopStep.BALANCER_WAITED)
        await self._stop_accepting()
        self._observe(StopStep.KEEP_ALIVE_ENDED)
        await self._wait(ends_ms, lambda: not self._in_flight.count)
        if not self._in_flight.count:
            self._observe(StopStep.DRAINED)
            return
        self._cut_what_is_left()
        self._observe(StopStep.CUT)

    async def _wait(self, until_ms: int, is_over: Callable[[], bool]) -> None:
        while self._clock.now_ms() < until_ms and not self._is_cut and not is_over():
            await self._clock.sleep_ms(_POLL_MS)

    async def _within_limit(self, hand_on: HandOn) -> None:
        """Hand one duty on; a platform that is away must not hold up the stop."""
        try:
            await within(self._clock, _HAND_ON_LIMIT_MS, hand_on())
        except TimeoutError:
            log.warning("daemon: a duty was not handed on in time and will lapse")
        except Exception as error:
            log.warning("daemon: a duty was not handed on, %r", error)

    def _cut_what_is_left(self) -> None:
        why = "a second signal" if self._is_cut else "the hard limit"
        cut = self._in_flight.cut()
        log.warning("daemon: %s cuts %d requests", why, len(cut))
        for flight in cut:
            log.warning(
                "daemon: cut request %s, %s",
                flight.request_id,
                flight.described,
                extra={"request": flight.request_id},
            )
