"""Headers of callers' requests, of requests to replicas, and of responses."""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch

from fireflyward.decoding import MAX_INT32, is_utf8, long_number, whole_number
from fireflyward.http1 import Head
from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown

from ._notices import InvalidHeader, ReplicaNotices, decode_notices

REQUEST_ID = "x-request-id"
_REQUEST_ID_LINE = re.compile(rb"(?i)\nx-request-id:[ \t]*([!-~]{1,200})[ \t]*\r\n")
_DEADLINE = "x-deadline-ms"
_KEY = "authorization"
_KEY_SCHEME = "bearer "
_MODEL = "x-model"
# Two numbers: the prompt tokens, and the limit of the output tokens.
_TOKENS = "x-token-usage"
_PARTS = "x-prompt-prefix"
_LAST_EVENT = "last-event-id"
# The id of the request that brought the first event of the stream that is resumed.
_RESUMES = "resumes"
_LENGTH_HINT = "x-length-hint"
# Headers that are used here; the others are only forwarded.
_READ_HEADERS = (
    REQUEST_ID,
    "host",
    _KEY,
    _MODEL,
    _TOKENS,
    _PARTS,
    _LAST_EVENT,
    _RESUMES,
)
_SIGNATURE = "x-server-seal"
_NOT_EXECUTED = "x-not-executed"
# Running requests, waiting requests, slots, and optionally how long work takes on the
# replica's machine at this moment, in percent of the usual time.
_LOAD = "x-server-load"
_WEIGHTS = "x-weight-versions"
_ENCODING = "content-encoding"
_INCARNATION = "x-instance-id"

_ACCOUNT = "X-Tenant"
_EXPECTED_INCARNATION = "X-Expect-Instance"
_EXPECTED_VERSION = "X-Expect-Version"
_CACHE_SALT = "X-Cache-Salt"
_PRIORITY = "X-Request-Priority"
_KV_SOURCE = "X-Kv-Fetch"
_KV_SAVE = "X-Kv-Save"

# Headers that only this system may set: with one of them a caller could read another
# account's cache or reserve capacity that it was not granted.
_SYSTEM_HEADERS = frozenset(
    (
        _DEADLINE,
        _KEY,
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-cache-salt",
        "x-request-priority",
        "x-kv-fetch",
        "x-kv-save",
        "x-kv-until",
        "x-kv-backup",
        "x-hold",
        "x-pin-ms",
        "kv-from",
        _LAST_EVENT,
    )
)
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

_MISDIRECTED = 421
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.WRONG_KEY: 401,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BODY_TIMEOUT: 408,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.OVER_LIMIT: 429,
}
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    Parts with equal ids have equal text, so their KV can be reused.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the caller sent it; ``target`` is the unchanged path and query.

    ``deadline_ms`` is how long the caller waits, None if it sent no deadline.
    ``headers`` are those that are forwarded to the replica unchanged. A request that
    resumes a stream after ``last_event_id`` names in ``first_request_id`` the request
    that brought the stream's first event.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    deadline_ms: float | None = None
    key: str | None = None
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None
    first_request_id: str | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ReplicaHeaders:
    """Headers that this system sends to a replica beside those of the caller.

    ``stored_tokens`` is how many tokens of the prompt come from a KV cache store;
    no header contains it.
    """

    incarnation: str
    left_ms: int
    account: str | None = None
    priority: int | None = None
    weights: int | None = None
    cache_salt: str | None = None
    kv_sources: tuple[str | None, ...] = ()
    kv_saves: tuple[str | None, ...] = ()
    stored_tokens: int = 0
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Numbers of running and of waiting requests of a replica, and of its slots.

    ``work_percent`` is how long work takes on it now, 100 for the usual time, and None
    if the replica does not report it.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """Facts about a response and its replica, taken from the response headers.

    ``invalid_load`` is a load report that cannot be decoded.
    """

    request_id: str | None
    is_signed: bool
    was_not_run: bool
    is_other_replica: bool
    is_encoded: bool
    load: ReplicaLoad | None = None
    invalid_load: InvalidHeader | None = None
    weights: int | None = None
    incarnation: str | None = None
    notices: ReplicaNotices = ReplicaNotices()


def decode_request(
    method: str, target: str, headers: Iterable[tuple[str, str]]
) -> CallerRequest | NotRun:
    """Decode a caller's request; return the reason if it is malformed."""
    headers = tuple(headers)
    by_name = {name.lower(): value for name, value in reversed(headers)}
    request_id, host = by_name.get(REQUEST_ID), by_name.get("host")
    if not request_id or not host:
        return NotRun(Reason.BAD_REQUEST, "request id or host is missing")
    # The parser of the callers' server escapes bytes that are no UTF-8.
    if not is_utf8(target + "".join(by_name.get(name, "") for name in _READ_HEADERS)):
        return NotRun(Reason.BAD_REQUEST, "request has a text that is no UTF-8")
    try:
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=host.partition(":")[0].lower(),
            target=target,
            headers=_forwarded_headers(headers, by_name.get("connection", "")),
            deadline_ms=_deadline_ms(by_name.get(_DEADLINE)),
            key=_bearer_key(by_name.get(_KEY)),
            model=by_name.get(_MODEL, ""),
            prompt_tokens=_token_count(by_name.get(_TOKENS), 0),
            max_output_tokens=_token_count(by_name.get(_TOKENS), 1),
            parts=_parts(by_name.get(_PARTS)),
            last_event_id=by_name.get(_LAST_EVENT),
            first_request_id=by_name.get(_RESUMES),
        )
    except ValueError as error:
        return NotRun(Reason.BAD_REQUEST, str(error))


def encode_request(
    caller: CallerRequest, system: ReplicaHeaders
) -> list[tuple[str, str]]:
    """Return the headers of the request to a replica."""
    headers = list(caller.headers)
    headers.append(("X-Deadline-Ms", str(system.left_ms)))
    headers.append((_EXPECTED_INCARNATION, system.incarnation))
    optional = (
        (_ACCOUNT, system.account),
        (_PRIORITY, system.priority),
        (_EXPECTED_VERSION, system.weights),
        (_CACHE_SALT, system.cache_salt),
        (_KV_SOURCE, _addresses(system.kv_sources)),
        (_KV_SAVE, _addresses(system.kv_saves)),
        ("Last-Event-Id", system.last_event_id),
    )
    headers += [(name, str(value)) for name, value in optional if value is not None]
    return headers


def decode_response(head: Head) -> ResponseFacts:
    """Return the facts that a response's headers contain."""
    weights = head.get(_WEIGHTS)
    load = _load(head.get(_LOAD))
    return ResponseFacts(
        request_id=named_request(head),
        is_signed=head.get(_SIGNATURE) is not None,
        was_not_run=head.get(_NOT_EXECUTED) is not None or head.status == _MISDIRECTED,
        is_other_replica=head.status == _MISDIRECTED,
        is_encoded=head.get(_ENCODING) is not None,
        load=load if isinstance(load, ReplicaLoad) else None,
        invalid_load=load if isinstance(load, InvalidHeader) else None,
        weights=long_number(weights) if weights else None,
        incarnation=head.get(_INCARNATION),
        notices=decode_notices(head),
    )


def named_request(head: Head) -> str | None:
    """Return the id of the request that a response names, None if it names none."""
    return head.get(REQUEST_ID)


def response_headers(head: Head) -> list[tuple[str, str]]:
    """Return a replica's headers for the caller, without hop-by-hop headers."""
    return list(_forwarded_headers(head.headers, head.get("connection") or "", ()))


@singledispatch
def status_of(outcome: Outcome) -> int:
    """Return the HTTP status for an outcome other than a replica's response."""
    raise TypeError(f"no HTTP status is defined for {outcome!r}")


@status_of.register
def _(outcome: NotRun) -> int:
    return _STATUS_BY_REASON.get(outcome.reason, _SERVICE_UNAVAILABLE)


@status_of.register
def _(outcome: Unknown) -> int:
    if outcome.reason is Reason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


@status_of.register
def _(outcome: Answered) -> int:
    return 200


def rejection_headers(
    request_id: str | None, outcome: Outcome
) -> list[tuple[str, str]]:
    """Return the headers of a response that this system creates itself."""
    headers = [("X-Request-Id", request_id)] if request_id else []
    if isinstance(outcome, NotRun) and outcome.retry_after_ms:
        headers.append(("Retry-After", f"{outcome.retry_after_ms / 1_000:.2f}"))
    return headers


def request_id_headers(head: bytes) -> tuple[tuple[str, str], ...]:
    """Return the headers that name a request whose head was not parsed.

    >>> request_id_headers(b"GET / HTTP/1.1\\r\\nx-request-id: 7f\\r\\n")
    (('X-Request-Id', '7f'),)
    """
    found = _REQUEST_ID_LINE.search(head)
    return (("X-Request-Id", found[1].decode()),) if found else ()


def _forwarded_headers(
    headers: Iterable[tuple[str, str]],
    connection: str,
    withheld: Iterable[str] = _SYSTEM_HEADERS,
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, without hop-by-hop and ``withheld`` ones."""
    named = {item.strip().lower() for item in connection.split(",")}
    hidden = _HOP_BY_HOP_HEADERS | named | frozenset(withheld)
    return tuple((name, value) for name, value in headers if name.lower() not in hidden)


def _addresses(by_part: tuple[str | None, ...]) -> str | None:
    """Encode one address for each part; a dash stands for a part without one.

    >>> _addresses(("10.0.0.1:80", None)), _addresses((None,))
    ('10.0.0.1:80,-', None)
    """
    if not any(by_part):
        return None
    return ",".join(address or "-" for address in by_part)


def _deadline_ms(value: str | None) -> float | None:
    if value is None:
        return None
    number = float(value) if value.isascii() and "_" not in value else math.nan
    if not 0 <= number < math.inf:
        raise ValueError(f"deadline {value[:80]!r} is not a valid time in ms")
    return min(number, MAX_INT32)


def _bearer_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(_KEY_SCHEME):
        return None
    return value[len(_KEY_SCHEME) :].strip()


def _token_count(value: str | None, index: int) -> int:
    if not value:
        return 0
    numbers = value.split(",")
    return _tokens(numbers[index]) if index < len(numbers) else 0


def _tokens(text: str) -> int:
    tokens = whole_number(text)
    if tokens is None:
        raise ValueError(f"{text[:80]!r} is not a number of tokens")
    return tokens


def _parts(value: str | None) -> tuple[PromptPart, ...]:
    """Decode a list of ``ID:TOKENS`` entries.

    >>> _parts("5c:800,91:410")
    (PromptPart(part_id='5c', tokens=800), PromptPart(part_id='91', tokens=410))
    """
    if not value:
        return ()
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(part_id, _tokens(tokens)))
    return tuple(parts)


def _load(value: str | None) -> ReplicaLoad | InvalidHeader | None:
    """Decode a load report of three or four numbers; the fourth is positive.

    >>> _load("3,1,8"), _load("3,1,8,250").work_percent
    (ReplicaLoad(running=3, waiting=1, slots=8, work_percent=None), 250)
    """
    if value is None:
        return None
    items = value.split(",")
    numbers = [whole_number(item) for item in items]
    if len(numbers) not in (3, 4) or None in numbers:
        return InvalidHeader(_LOAD, value)
    load = ReplicaLoad(*numbers)
    return load if load.work_percent != 0 else InvalidHeader(_LOAD, value)
