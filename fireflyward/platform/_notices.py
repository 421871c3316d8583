"""Response headers with which replicas limit or stop the requests they get."""

from dataclasses import dataclass

from fireflyward.decoding import decimal
from fireflyward.http1 import Head

# Requests per second, from all nodes together.
_LIMIT = "server-limit"
# Rejections in a second, of requests from all nodes, that the replica withstands.
_BRITTLE = "server-brittle"
# With status 503: for how many seconds the rejected node is to send no requests.
_RETRY_AFTER = "retry-after"
_UNAVAILABLE = 503
_LEAVING = "server-leaving"
_FLAGS = {"1": True, "0": False}


@dataclass(frozen=True, slots=True)
class RateLimit:
    """How many requests per second a replica accepts from all nodes together."""

    per_second: float


@dataclass(frozen=True, slots=True)
class Brittleness:
    """How many requests a replica can reject in a second without a crash."""

    rejections_per_second: float


@dataclass(frozen=True, slots=True)
class InvalidHeader:
    """A header whose value cannot be decoded."""

    header: str
    value: str


@dataclass(frozen=True, slots=True)
class ReplicaNotices:
    """What a response requests of the nodes; ``limit`` is None if it names none.

    ``brittle`` is None unless the replica crashes if it rejects too many requests.

    ``leaving`` means that the replica is leaving and is to get no more requests.
    ``backoff_ms`` is how long the node that got the response is to send no requests.
    """

    limit: RateLimit | InvalidHeader | None = None
    brittle: Brittleness | InvalidHeader | None = None
    leaving: bool | InvalidHeader = False
    backoff_ms: float | InvalidHeader = 0.0

    @property
    def invalid_headers(self) -> tuple[InvalidHeader, ...]:
        """Return the headers that could not be decoded."""
        found = self.limit, self.brittle, self.leaving, self.backoff_ms
        return tuple(item for item in found if isinstance(item, InvalidHeader))


def decode_notices(head: Head) -> ReplicaNotices:
    """Return what a response requests of this system's nodes.

    >>> decode_notices(Head(200, "", (("server-limit", "3.5"),))).limit
    RateLimit(per_second=3.5)
    """
    return ReplicaNotices(
        limit=_limit(head.get(_LIMIT)),
        brittle=_brittle(head.get(_BRITTLE)),
        leaving=_leaving(head.get(_LEAVING)),
        backoff_ms=_backoff_ms(head),
    )


def _limit(value: str | None) -> RateLimit | InvalidHeader | None:
    if value is None:
        return None
    number = decimal(value)
    return InvalidHeader(_LIMIT, value) if number is None else RateLimit(number)


def _brittle(value: str | None) -> Brittleness | InvalidHeader | None:
    if value is None:
        return None
    number = decimal(value)
    return InvalidHeader(_BRITTLE, value) if number is None else Brittleness(number)


def _leaving(value: str | None) -> bool | InvalidHeader:
    if value is None:
        return False
    return _FLAGS.get(value.strip(), InvalidHeader(_LEAVING, value))


def _backoff_ms(head: Head) -> float | InvalidHeader:
    value = head.get(_RETRY_AFTER)
    if value is None or head.status != _UNAVAILABLE:
        return 0.0
    seconds = decimal(value)
    return InvalidHeader(_RETRY_AFTER, value) if seconds is None else 1_000 * seconds
