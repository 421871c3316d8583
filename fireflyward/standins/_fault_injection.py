"""Where a stand-in's server lets the faults of its connections strike."""

import asyncio
from dataclasses import dataclass

from fireflyward.clock import Clock

from ._engine_faults import EngineFaults

_OTHER_RUN = "0" * 32


class FaultGate:
    """Asked by an engine stand-in at the points where a connection can fail."""

    __slots__ = ("_clock", "faults")

    def __init__(self, clock: Clock) -> None:
        self.faults = EngineFaults()
        self._clock = clock

    async def on_request(self) -> None:
        """A request came; it may vanish before the engine sees it."""
        if self.faults.paused or self.faults.take("lost_requests"):
            await silence()

    async def on_read(self) -> None:
        """A request that starts nothing came."""
        if self.faults.paused:
            await silence()

    async def on_submitted(self) -> None:
        """The engine has the run; the answer may vanish."""
        if self.faults.take("lost_answers"):
            await silence()

    async def on_stream(self, run_id: str) -> str:
        """A stream begins; return the run id that it names."""
        if self.faults.delay_ms:
            await self._clock.sleep_ms(self.faults.delay_ms)
        return _OTHER_RUN if self.faults.take("crossed_streams") else run_id

    def sendable(self, sent: int, ready: int) -> int:
        """Return up to which token a stream may send before a fault strikes.

        Tokens that came together would else carry a stream past the point at which
        it is to be struck, on a busy machine and not on an idle one.
        """
        faults = self.faults
        if not faults.cut_streams and not faults.silent_streams:
            return ready
        return min(ready, max(sent, faults.after_tokens))

    async def is_cut(self, sent: int) -> bool:
        """Tell whether a stream is cut after ``sent`` tokens, or let it fall silent."""
        if self.faults.paused:
            await silence()
        if sent < self.faults.after_tokens:
            return False
        if self.faults.take("silent_streams"):
            await silence()
        return self.faults.take("cut_streams")


@dataclass(slots=True)
class ServiceFaults:
    """What goes wrong between a plain service and its node, counted in calls.

    ``lost_requests`` vanish before the service acts, ``lost_answers`` after it
    acted, ``crossed_replies`` name another run, ``refusals`` say that nothing was
    run, ``redirects`` act and point back here; ``delay_ms`` holds back every reply.
    """

    lost_requests: int = 0
    lost_answers: int = 0
    crossed_replies: int = 0
    refusals: int = 0
    redirects: int = 0
    delay_ms: int = 0

    def take(self, name: str) -> bool:
        """Count one of the faults to come down; return whether it strikes now."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return left > 0


async def silence() -> None:
    """Say nothing for good, as a connection that something forgot."""
    await asyncio.get_running_loop().create_future()
