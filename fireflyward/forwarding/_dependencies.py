"""The components that all requests of a node share."""

from dataclasses import dataclass

from fireflyward.clock import Clock
from fireflyward.hedging import Hedging
from fireflyward.http1 import ConnectionPool
from fireflyward.limits import FairAdmission
from fireflyward.poison import PartGate
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser
from fireflyward.retries import RetryBudget

from ._admission import Admission
from ._caller_times import CallerTimes
from ._interfaces import Connections, Notices, QuarantineGate, Reach, Speeds, Streams
from ._late_limit import LateRequestLimit
from ._silence_watch import SilenceWatch
from ._waiting_sends import WaitingSends
from ._weights import WeightVersions


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The components that all requests of a node share."""

    clock: Clock
    pool: ConnectionPool
    connections: Connections
    chooser: Chooser
    budget: RetryBudget
    weights: WeightVersions
    planner: PartPlanner
    admission: Admission
    callers: CallerTimes
    late_limit: LateRequestLimit
    fairness: FairAdmission
    gate: QuarantineGate
    part_gate: PartGate
    reach: Reach
    notices: Notices
    speeds: Speeds
    hedging: Hedging
    watch: SilenceWatch
    streams: Streams
    waiting: WaitingSends
