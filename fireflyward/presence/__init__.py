"""Which of the listed nodes still run, so that the rows of the others can be ended."""

from ._absences import Absences
from ._task import PresenceTask

__all__ = ["Absences", "PresenceTask"]
