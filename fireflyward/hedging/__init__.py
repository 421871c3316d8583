"""Detection of unresponsive replicas, and decisions on second sends; no I/O."""

from ._answer_times import AnswerTimes
from ._hedging import Hedging
from ._second_sends import Refusal, SecondSendReason, SecondSends
from ._silent_replicas import SilentReplicaCost, SilentReplicas, WaitingSend

__all__ = [
    "AnswerTimes",
    "Hedging",
    "Refusal",
    "SecondSendReason",
    "SecondSends",
    "SilentReplicaCost",
    "SilentReplicas",
    "WaitingSend",
]
