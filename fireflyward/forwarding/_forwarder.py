"""Serves requests by the decisions of its parts."""

from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool
from fireflyward.outcomes import Outcome
from fireflyward.platform import CallerRequest
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import Chooser
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed

from ._admission import Admission
from ._caller_times import CallerTimes
from ._deps import Notices, Reach, SendGate, Tools
from ._exchange import Reply
from ._late_lane import LateLane
from ._request_run import Run
from ._trace import Trace
from ._weights import WeightVersions


class Forwarder:
    """Carries each request to replicas, as often as its plan allows.

    ``serve`` returns ``Answered`` once the caller has a whole answer. Any other
    outcome is still to be told to the caller, unless the stream has begun: then
    the caller's connection must be closed without the end of the response.
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
        gate: SendGate,
        reach: Reach,
        notices: Notices,
        admission: Admission | None = None,
    ) -> None:
        self._deps = Tools(
            clock=clock,
            pool=pool,
            chooser=chooser,
            budget=budget,
            weights=weights,
            planner=planner,
            admission=admission or Admission(),
            callers=CallerTimes(),
            late_limit=LateLane(),
            gate=gate,
            reach=reach,
            notices=notices,
        )

    def set_nodes(self, nodes: int) -> None:
        """Take the number of nodes that send to the same replicas."""
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
        """Carry one request to its end; ``trace`` is filled on the way."""
        run = Run(self._deps, caller, body, allowed, arrived_ms, reply, trace)
        return await run.to_end()
