"""Notices routes on which this node answers no request any more."""

from collections import Counter
from dataclasses import dataclass, field

from fireflyward.outcomes import Answered, Outcome, Reason

# A route has an outage after this many requests without an answer, over this time.
_MIN_REQUESTS = 5
_MIN_MS = 1_000
# These say something about the request, its caller or this node, not about the route.
_OTHER_REASONS = frozenset(
    (
        Reason.BAD_REQUEST,
        Reason.TOO_LARGE,
        Reason.HEADERS_TOO_LARGE,
        Reason.BODY_TIMEOUT,
        Reason.WRONG_KEY,
        Reason.NOT_ALLOWED,
        Reason.UNKNOWN_MODEL,
        Reason.UNKNOWN_ROUTE,
        Reason.OVER_LIMIT,
        Reason.CALLER_GONE,
        Reason.STOPPING,
    )
)


@dataclass(frozen=True, slots=True)
class OutageBegan:
    """No request of a route was answered for ``duration_ms``, most for ``cause``."""

    route: str
    duration_ms: int
    requests: int
    cause: str


@dataclass(frozen=True, slots=True)
class OutageEnded:
    """A request of a route was answered again after ``duration_ms`` without any."""

    route: str
    duration_ms: int
    requests: int
    cause: str


@dataclass(slots=True)
class _Unanswered:
    """The requests of one route since its last answer, by reason.

    A detail may hold a time or a size, so that no two are equal. Only the newest one of
    each reason is kept.
    """

    since_ms: int
    count_by_reason: Counter[Reason] = field(default_factory=Counter)
    detail_by_reason: dict[Reason, str] = field(default_factory=dict)
    is_reported: bool = False


class RouteOutages:
    """Tells when a route's requests stop to be answered, why, and until when; no I/O.

    >>> outages = RouteOutages()
    >>> from fireflyward.outcomes import NotRun
    >>> rejected = NotRun(Reason.NO_UPSTREAM, "no replica may take the request", 100)
    >>> ends = [outages.on_end(at, "chat", rejected) for at in range(0, 1_200, 200)]
    >>> ends[-2], ends[-1].duration_ms, outages.durations_ms(1_500)
    (None, 1000, {'chat': 1500})
    >>> outages.on_end(1_700, "chat", Answered()).duration_ms
    1700
    >>> outages.durations_ms(1_800)
    {'chat': 0}
    """

    __slots__ = ("_reported_routes", "_unanswered_by_route")

    def __init__(self) -> None:
        self._reported_routes: set[str] = set()
        self._unanswered_by_route: dict[str, _Unanswered] = {}

    def on_end(
        self, now_ms: int, route: str, outcome: Outcome
    ) -> OutageBegan | OutageEnded | None:
        """Record the end of a request; return what that says about its route.

        ``route`` is empty for a request that matches none.
        """
        if isinstance(outcome, Answered):
            return self._on_answered(now_ms, route)
        if not route or outcome.reason in _OTHER_REASONS:
            return None
        unanswered = self._unanswered_by_route.get(route)
        if unanswered is None:
            unanswered = self._unanswered_by_route[route] = _Unanswered(now_ms)
        unanswered.count_by_reason[outcome.reason] += 1
        unanswered.detail_by_reason[outcome.reason] = outcome.detail
        requests = unanswered.count_by_reason.total()
        duration_ms = now_ms - unanswered.since_ms
        if unanswered.is_reported or requests < _MIN_REQUESTS or duration_ms < _MIN_MS:
            return None
        unanswered.is_reported = True
        self._reported_routes.add(route)
        return OutageBegan(route, duration_ms, requests, _most_common(unanswered))

    def durations_ms(self, now_ms: int) -> dict[str, int]:
        """Return for how long each route has had no answer, 0 after its outage."""
        unanswered_by_route = self._unanswered_by_route
        return {
            route: now_ms - unanswered_by_route[route].since_ms
            if route in unanswered_by_route and unanswered_by_route[route].is_reported
            else 0
            for route in self._reported_routes
        }

    def _on_answered(self, now_ms: int, route: str) -> OutageEnded | None:
        unanswered = self._unanswered_by_route.pop(route, None)
        if unanswered is None or not unanswered.is_reported:
            return None
        return OutageEnded(
            route,
            now_ms - unanswered.since_ms,
            unanswered.count_by_reason.total(),
            _most_common(unanswered),
        )


def _most_common(unanswered: _Unanswered) -> str:
    ((reason, _),) = unanswered.count_by_reason.most_common(1)
    return f"{reason.value}: {unanswered.detail_by_reason[reason]}"
