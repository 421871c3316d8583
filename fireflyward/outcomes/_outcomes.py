"""Outcomes are values; a request ends with exactly one of them."""

import enum
from dataclasses import dataclass


class Reason(enum.StrEnum):
    """Why a request was not answered, in the words that callers see."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TIMEOUT = "body_timeout"
    WRONG_KEY = "wrong_key"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    NO_BUNDLE = "no_bundle"
    BUNDLE_BEHIND = "bundle_behind"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    PLATFORM_AWAY = "platform_away"
    DUPLICATE_RUNNING = "duplicate_running"
    ALREADY_RUN = "already_run"
    KEY_REUSED = "key_reused"
    STOPPING = "stopping"
    UPSTREAM_FAILED = "upstream_failed"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of one answer; ``cached_tokens`` were not recomputed."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller has the whole answer, end marker included."""

    usage: Usage = Usage()

    tag = "answered"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly never reached an upstream that could run it.

    ``retry_after_ms`` tells the caller when asking again may help; zero means
    that asking again unchanged will not.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0

    tag = "not_run"


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; its effect must be looked up, not repeated."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0

    tag = "unknown"


Outcome = Answered | NotRun | Unknown
