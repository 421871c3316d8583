"""The outcomes of requests, as values; each request ends with exactly one."""

import enum
from dataclasses import dataclass


class Reason(enum.StrEnum):
    """Why a request was not answered; callers receive these values."""

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
    """Token counts of one answer; ``cached_tokens`` came from the KV cache."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller has received the complete answer, including the end marker."""

    usage: Usage = Usage()

    tag = "answered"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly never ran on any upstream.

    ``retry_after_ms`` is the time after which the caller can retry the request; zero
    means that a retry of the unchanged request cannot succeed.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0

    tag = "not_run"


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; the caller must check its effect before a retry."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0

    tag = "unknown"


Outcome = Answered | NotRun | Unknown
