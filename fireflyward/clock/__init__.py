"""Time, in milliseconds, behind one small type that tests can replace."""

from ._clock import Clock, ManualClock

__all__ = ["Clock", "ManualClock"]
