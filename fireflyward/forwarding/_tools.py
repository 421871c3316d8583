"""The parts that every request of a node goes through."""

from dataclasses import dataclass

from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser
from fireflyward.retries import RetryBudget

from ._admission import Admission
from ._caller_times import CallerTimes
from ._late_lane import LateLane
from ._weights import WeightBook


@dataclass(frozen=True, slots=True)
class Tools:
    """What every run of a node works with."""

    clock: Clock
    pool: ConnectionPool
    chooser: Chooser
    budget: RetryBudget
    weights: WeightBook
    planner: PartPlanner
    admission: Admission
    callers: CallerTimes
    late_lane: LateLane
