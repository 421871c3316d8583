"""Speeds of replicas as they report them, and what follows for the choice of one."""

from ._pause_term import PauseTerm
from ._pause_times import PauseTimes
from ._task import SpeedTask

__all__ = ["PauseTerm", "PauseTimes", "SpeedTask"]
