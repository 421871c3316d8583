"""Time, in milliseconds, behind one small type that tests can replace."""

from ._clock import Clock, ManualClock
from ._within import TimedOut, within_ms

__all__ = ["Clock", "ManualClock", "TimedOut", "within_ms"]
