"""Outcomes in HTTP: a status, headers and an error body in the OpenAI format."""

import math

import msgspec

from fireflyward.outcomes import NotRun, Reason, Unknown

OUTCOME_HEADER = "X-Outcome"
REQUEST_HEADER = "X-Request-Id"
BUNDLE_HEADER = "X-Bundle"
_MS_PER_SECOND = 1_000

_STATUS_OF_UNKNOWN = 502
_STATUS_OF_NOT_RUN = 503
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.WRONG_KEY: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.KEY_REUSED: 422,
    Reason.DUPLICATE_RUNNING: 409,
    Reason.BODY_TIMEOUT: 408,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.OVER_LIMIT: 429,
}


class ErrorDetail(msgspec.Struct):
    """The content of an error body; ``type`` is the outcome, ``code`` the reason."""

    message: str
    type: str
    code: str
    request_id: str
    param: str | None = None


class ErrorBody(msgspec.Struct):
    """An error body in the OpenAI format."""

    error: ErrorDetail


def status_of(outcome: NotRun | Unknown) -> int:
    """Return the HTTP status of a request that was not answered."""
    if isinstance(outcome, Unknown):
        return _STATUS_OF_UNKNOWN
    return _STATUS_BY_REASON.get(outcome.reason, _STATUS_OF_NOT_RUN)


def error_bytes(outcome: NotRun | Unknown, request_id: str) -> bytes:
    """Return the JSON error body of an outcome."""
    message = outcome.detail or outcome.reason.value
    detail = ErrorDetail(message, outcome.tag, outcome.reason.value, request_id)
    return msgspec.json.encode(ErrorBody(detail))


def headers_of(
    tag: str, request_id: str, bundle_number: int, *, retry_after_ms: int = 0
) -> dict[str, str]:
    """Return the headers that every response carries."""
    headers = {
        OUTCOME_HEADER: tag,
        REQUEST_HEADER: request_id,
        BUNDLE_HEADER: str(bundle_number),
    }
    if retry_after_ms:
        headers["Retry-After"] = str(math.ceil(retry_after_ms / _MS_PER_SECOND))
    return headers
