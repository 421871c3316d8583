"""Cheap checks in the request path.

Faults of other components (a bundle with an invalid signature, an answer to another
run, a block with wrong bytes) are expected, and the code handles them as ordinary
values. An invariant concerns the state of this process only. When an invariant is
broken, the process can no longer be trusted, and other nodes can serve its requests;
so the process logs the broken invariant, counts it and stops.
"""

import enum
import logging
from collections.abc import Callable

log = logging.getLogger("fireflyward.invariants")


class Invariant(enum.StrEnum):
    """The invariants, each with its description."""

    BUNDLE_FORWARD = "the bundle in force never steps back"
    IN_FLIGHT = "no client account has fewer than no requests in flight"
    IN_ORDER = "a caller's offset never goes back and never jumps"
    ONE_END = "a run ends once, with nothing after its end"
    ONE_DISPATCH = "a non-idempotent request is dispatched at most once"


class InvariantBroken(BaseException):
    """Raised where an invariant is broken.

    It does not derive from ``Exception``, so that a handler which turns errors into
    responses does not catch it and continue serving.
    """

    def __init__(self, invariant: Invariant, detail: str) -> None:
        super().__init__(f"{invariant} ({detail})")
        self.invariant = invariant


Listener = Callable[[InvariantBroken], None]
_listeners: list[Listener] = []


def require(holds: bool, invariant: Invariant, detail: str, *values: object) -> None:
    """Call every listener and raise ``InvariantBroken``, unless ``holds`` is true.

    ``detail`` is formatted with ``values`` only if the invariant is broken.

    >>> require(True, Invariant.IN_FLIGHT, "%s has %d", "bridge", 1)
    """
    if holds:
        return
    broken = InvariantBroken(invariant, detail % values)
    log.critical("invariants: broken, %s", broken)
    for listener in tuple(_listeners):
        listener(broken)
    raise broken


def add_listener(listener: Listener) -> Callable[[], None]:
    """Call ``listener`` for broken invariants; return a function that removes it."""
    _listeners.append(listener)
    return lambda: _listeners.remove(listener)
