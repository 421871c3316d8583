"""Forwards the requests of one node to replicas."""

from fireflyward.clock import Clock
from fireflyward.hedging import Hedging
from fireflyward.http1 import ConnectionPool
from fireflyward.limits import FairAdmission, LocalSums, PeerSums
from fireflyward.outcomes import Outcome
from fireflyward.platform import CallerRequest
from fireflyward.poison import AnyPart, PartGate
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed

from ._admission import Admission
from ._caller_times import CallerTimes
from ._dependencies import Dependencies
from ._exchange import Reply
from ._interfaces import (
    Connections,
    DirectConnections,
    NoSpeeds,
    NoStreams,
    Notices,
    QuarantineGate,
    Reach,
    Speeds,
    Streams,
)
from ._late_limit import LateRequestLimit
from ._request_run import RequestRun
from ._silence_watch import SilenceWatch
from ._trace import Trace
from ._waiting_sends import WaitingSends
from ._weights import WeightVersions


class Forwarder:
    """Sends each request to replicas, as often as its attempt plan allows.

    ``serve`` returns ``Answered`` once the caller has received a complete answer. For
    any other outcome the node must still send a response to the caller, unless a
    stream has begun: then it must close the caller's connection without completing
    the response.
    """

    __slots__ = ("_deps",)

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        chooser: Chooser,
        budget: RetryBudget,
        weights: WeightVersions,
        planner: PartPlanner,
        gate: QuarantineGate,
        reach: Reach,
        notices: Notices,
        speeds: Speeds | None = None,
        admission: Admission | None = None,
        fairness: FairAdmission | None = None,
        hedging: Hedging | None = None,
        connections: Connections | None = None,
        streams: Streams | None = None,
        part_gate: PartGate | None = None,
        waiting: WaitingSends | None = None,
    ) -> None:
        hedging = hedging or Hedging()
        self._deps = Dependencies(
            clock=clock,
            pool=pool,
            connections=connections or DirectConnections(pool),
            chooser=chooser,
            budget=budget,
            weights=weights,
            planner=planner,
            admission=admission or Admission(),
            callers=CallerTimes(),
            late_limit=LateRequestLimit(),
            fairness=fairness or FairAdmission(LocalSums(), PeerSums()),
            gate=gate,
            part_gate=part_gate or AnyPart(),
            reach=reach,
            notices=notices,
            speeds=speeds or NoSpeeds(),
            hedging=hedging,
            streams=streams or NoStreams(),
            waiting=waiting or WaitingSends(),
            watch=SilenceWatch(clock=clock, pool=pool, reach=reach, hedging=hedging),
        )

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes that send to the same replicas."""
        self._deps.late_limit.set_nodes(nodes)

    async def serve(
        self,
        caller: CallerRequest,
        body: bytes,
        allowed: Allowed,
        *,
        arrived_ms: int,
        reply: Reply,
        trace: Trace,
    ) -> Outcome:
        """Forward one request until it has an outcome, and fill in its ``trace``."""
        run = RequestRun(self._deps, caller, body, allowed, arrived_ms, reply, trace)
        return await run.run()
