"""The checker that the fault matrix, the load tool and the long run share."""

from functools import singledispatchmethod

from ._blocks import BlockChecker
from ._bundles import BundleChecker
from ._observations import (
    AttemptEnded,
    BlockFreed,
    BlockRead,
    BlockSealed,
    BundleAccepted,
    BundleServed,
    CallerDisconnected,
    NodeLost,
    Observation,
    ReachabilityChanged,
    RequestSent,
    RunStarted,
    StopStarted,
    UpstreamLeaving,
)
from ._promises import Promise, Violation
from ._requests import RequestChecker

_LEAVING_LIMIT_MS = 3_000
_IN_FORCE_LIMIT_MS = 9_000


class Checker:
    """Receives observations in the order of time and returns the broken promises.

    Without ``observes_platform`` the checker receives no ``BundleAccepted``. For
    bundles it then only checks that the number of each node never decreases.

    >>> from fireflyward.checker import AttemptEnded, AttemptStatus
    >>> from fireflyward.checker import Checker, RequestSent
    >>> checker = Checker()
    >>> checker.observe(RequestSent(0, "r", "a", ("yes",)))
    >>> checker.observe(AttemptEnded(9, "r", AttemptStatus.ANSWERED, "yes"))
    >>> checker.finish(10)
    ()
    """

    __slots__ = ("_blocks", "_bundles", "_leaving_limit_ms", "_leaving_ms", "_requests")

    def __init__(
        self,
        *,
        leaving_limit_ms: int = _LEAVING_LIMIT_MS,
        in_force_limit_ms: int = _IN_FORCE_LIMIT_MS,
        observes_platform: bool = True,
    ) -> None:
        self._requests = RequestChecker()
        self._blocks = BlockChecker()
        self._bundles = BundleChecker(
            in_force_limit_ms, observes_platform=observes_platform
        )
        self._leaving_limit_ms = leaving_limit_ms
        self._leaving_ms: dict[str, int] = {}

    def finish(self, now_ms: int) -> tuple[Violation, ...]:
        """Return every violation, including those of requests without an outcome."""
        found = [
            *self._requests.finish(now_ms),
            *self._blocks.violations,
            *self._bundles.violations,
        ]
        return tuple(sorted(found, key=lambda violation: violation.at_ms))

    @singledispatchmethod
    def observe(self, observation: Observation) -> None:
        """Pass one observation to the checks that it concerns."""
        raise TypeError(f"no check handles {observation!r}")

    @observe.register(
        RequestSent | AttemptEnded | CallerDisconnected | StopStarted | NodeLost
    )
    def _(self, observation: Observation) -> None:
        self._requests.observe(observation)

    @observe.register
    def _(self, observation: RunStarted) -> None:
        self._requests.observe(observation)
        leaving_ms = self._leaving_ms.get(observation.upstream)
        if (
            leaving_ms is None
            or observation.at_ms <= leaving_ms + self._leaving_limit_ms
        ):
            return
        late_ms = observation.at_ms - leaving_ms
        detail = (
            f"{observation.upstream} got {observation.request} "
            f"{late_ms} ms after it started leaving"
        )
        self._requests.violations.append(
            Violation(Promise.LEAVING_UPSTREAM, observation.at_ms, detail)
        )

    @observe.register
    def _(self, observation: UpstreamLeaving) -> None:
        self._leaving_ms.setdefault(observation.upstream, observation.at_ms)

    @observe.register(BlockSealed | BlockFreed | BlockRead)
    def _(self, observation: Observation) -> None:
        self._blocks.observe(observation)

    @observe.register(BundleAccepted | BundleServed | ReachabilityChanged)
    def _(self, observation: Observation) -> None:
        self._bundles.observe(observation)
