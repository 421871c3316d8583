"""Detects requests that crash replicas, and limits where they are sent."""

from ._cuts import Cuts
from ._fingerprint import fingerprint_of
from ._messages import Free, Held, OnTrial, SuspectRow, Trial
from ._suspects import MAX_CRASHES, Suspects
from ._task import TRIAL_ENDED, Quarantine

__all__ = [
    "MAX_CRASHES",
    "TRIAL_ENDED",
    "Cuts",
    "Free",
    "Held",
    "OnTrial",
    "Quarantine",
    "SuspectRow",
    "Suspects",
    "Trial",
    "fingerprint_of",
]
