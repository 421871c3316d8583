"""HTTP sessions, detection of silent connections, and guarded request bodies."""

from ._bodies import (
    MAX_BODY_BYTES,
    MAX_REPORT_BYTES,
    UNENCODED,
    ResponseIncomplete,
    ResponseTooLarge,
    check_size,
    read_body,
)
from ._guard import GuardedBody, PermitExpired
from ._send_once import SendOnce
from ._sessions import Sessions, make_socket
from ._watch import SilenceLimits, SilenceTimer, timed_out, was_silent, within

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_REPORT_BYTES",
    "UNENCODED",
    "GuardedBody",
    "SilenceTimer",
    "PermitExpired",
    "ResponseIncomplete",
    "ResponseTooLarge",
    "SendOnce",
    "Sessions",
    "SilenceLimits",
    "check_size",
    "make_socket",
    "read_body",
    "timed_out",
    "was_silent",
    "within",
]
