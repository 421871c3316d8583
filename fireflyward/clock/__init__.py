"""Time, in milliseconds, behind one small type that tests can replace."""

from ._clock import Clock, ManualClock, Timer
from ._within import TimedOut, within_ms

__all__ = ["Clock", "ManualClock", "TimedOut", "Timer", "within_ms"]
