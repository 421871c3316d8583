"""What the requests of a node share about overdue responses."""

from dataclasses import dataclass, field

from ._answer_times import AnswerTimes
from ._second_sends import SecondSends
from ._silent_replicas import SilentReplicas


@dataclass(frozen=True, slots=True)
class Hedging:
    """The state that all requests of a node share about overdue responses."""

    times: AnswerTimes = field(default_factory=AnswerTimes)
    silent: SilentReplicas = field(default_factory=SilentReplicas)
    second_sends: SecondSends = field(default_factory=SecondSends)
