"""When a connection is doubted, and on which connections requests go."""

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
