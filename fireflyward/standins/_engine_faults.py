"""Faults of an engine's connections, switched on by tests and by the fault matrix."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineFaults:
    """What goes wrong between an engine and its node.

    ``unreachable`` refuses connections. ``paused`` takes them and says nothing, on
    old and new ones alike. The rest count streams to come: ``silent_streams`` stop
    after ``after_tokens`` tokens and stay open, ``cut_streams`` close there,
    ``lost_requests`` vanish before the engine sees them, ``lost_answers`` run
    without anything coming back, ``crossed_streams`` carry another run's answer.
    ``delay_ms`` holds back the start of every stream.
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

    def take(self, name: str) -> bool:
        """Count one of the faults to come down; return whether it strikes now."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return left > 0
