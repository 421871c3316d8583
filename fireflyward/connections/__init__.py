"""When a connection is doubted, and on which connections requests go."""

from ._watch import Heard, SilenceLimits, was_silent, within

__all__ = ["Heard", "SilenceLimits", "was_silent", "within"]
