"""Time in milliseconds, through a small class that tests can replace."""

from ._clock import Clock, ManualClock, Timer
from ._standstill import Standstills
from ._within import TimedOut, within_ms

__all__ = ["Clock", "ManualClock", "Standstills", "TimedOut", "Timer", "within_ms"]
