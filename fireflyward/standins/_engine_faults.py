"""Faults of an engine's connections, switched on by tests and by the fault matrix."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineFaults:
    """The faults of the connections between an engine and its nodes.

    With ``unreachable`` the engine refuses connections. With ``paused`` it accepts
    them, but sends nothing on new or existing ones. ``silent_streams`` to
    ``crossed_streams`` are how many of the next streams or requests are affected:
    ``silent_streams`` stop after ``after_tokens`` tokens and stay open,
    ``cut_streams`` close at that point, ``lost_requests`` are lost before they reach
    the engine, ``lost_answers`` run but their answer is lost, and
    ``crossed_streams`` carry another run's id. ``delay_ms`` delays the start of
    every stream.
    """

    unreachable: bool = False
    paused: bool = False
    after_tokens: int = 0
    silent_streams: int = 0
    cut_streams: int = 0
    lost_requests: int = 0
    lost_answers: int = 0
    crossed_streams: int = 0
    delay_ms: int = 0

    def consume(self, name: str) -> bool:
        """Return whether the fault applies now, and decrement its counter if so."""
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return remaining > 0
