"""HTTP sessions, detection of silent connections, and guarded request bodies."""

from ._guard import GuardedBody, PermitExpired
from ._sessions import Sessions, make_socket
from ._watch import SilenceLimits, SilenceTimer, timed_out, was_silent, within

__all__ = [
    "GuardedBody",
    "SilenceTimer",
    "PermitExpired",
    "Sessions",
    "SilenceLimits",
    "make_socket",
    "timed_out",
    "was_silent",
    "within",
]
