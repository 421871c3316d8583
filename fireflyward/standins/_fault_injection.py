"""Fault injection into the connections of the stand-ins."""

import asyncio
from dataclasses import dataclass

from fireflyward.clock import Clock

from ._engine_faults import EngineFaults

_OTHER_RUN_ID = "0" * 32


class FaultInjector:
    """Injects ``EngineFaults`` at the points where a connection can fail.

    An engine stand-in calls one method at each such point.
    """

    __slots__ = ("_clock", "faults")

    def __init__(self, clock: Clock) -> None:
        self.faults = EngineFaults()
        self._clock = clock

    async def on_request(self) -> None:
        """Handle a new request, which a fault may lose before the engine gets it."""
        if self.faults.paused or self.faults.consume("lost_requests"):
            await hang()

    async def on_read(self) -> None:
        """Handle a request that starts no run."""
        if self.faults.paused:
            await hang()

    async def on_submitted(self) -> None:
        """Handle a run that the engine has accepted; a fault may lose its answer."""
        if self.faults.consume("lost_answers"):
            await hang()

    async def on_stream(self, run_id: str) -> str:
        """Delay the start of a stream, and return the run id that it is to carry."""
        if self.faults.delay_ms:
            await self._clock.sleep_ms(self.faults.delay_ms)
        return _OTHER_RUN_ID if self.faults.consume("crossed_streams") else run_id

    def sendable(self, sent: int, ready: int) -> int:
        """Return up to which token a stream may send before a fault applies.

        Without this limit, a stream on a busy machine could send several tokens at
        once and pass the point at which the fault is due.
        """
        faults = self.faults
        if not faults.cut_streams and not faults.silent_streams:
            return ready
        return min(ready, max(sent, faults.after_tokens))

    async def should_cut(self, sent: int) -> bool:
        """Return whether to cut a stream after ``sent`` tokens.

        If the stream is to become silent instead, the call never returns.
        """
        if self.faults.paused:
            await hang()
        if sent < self.faults.after_tokens:
            return False
        if self.faults.consume("silent_streams"):
            await hang()
        return self.faults.consume("cut_streams")


@dataclass(slots=True)
class ServiceFaults:
    """The faults of a plain service: how many of the next calls each one affects.

    ``lost_requests`` are lost before the service acts and ``lost_answers`` after it
    acted. ``crossed_replies`` carry another run's id, ``refusals`` state that
    nothing was run, and ``redirects`` act and redirect to the same path.
    ``delay_ms`` delays every reply.
    """

    lost_requests: int = 0
    lost_answers: int = 0
    crossed_replies: int = 0
    refusals: int = 0
    redirects: int = 0
    delay_ms: int = 0

    def consume(self, name: str) -> bool:
        """Return whether the fault applies now, and decrement its counter if so."""
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return remaining > 0


async def hang() -> None:
    """Wait forever, so that the connection stays open and silent."""
    await asyncio.get_running_loop().create_future()
