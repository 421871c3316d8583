"""Cheap checks in the serving path.

Faults of others (a bundle that does not verify, an answer of another run, a block
of other bytes) are outcomes, and they are met as values. An invariant is about this
process's own state. When one is broken, nothing that the process would do next can
be trusted, and another node is there to serve; so the process says what broke,
counts it and stops.
"""

import enum
import logging
from collections.abc import Callable

log = logging.getLogger("fireflyward.invariants")


class Invariant(enum.StrEnum):
    """Each invariant in words."""

    BUNDLE_FORWARD = "the bundle in force never steps back"
    IN_FLIGHT = "no client account has fewer than no requests in flight"
    IN_ORDER = "a caller's offset never goes back and never jumps"
    ONE_END = "a run ends once, with nothing after its end"
    ONE_DISPATCH = "a non-idempotent request is dispatched at most once"


class InvariantBroken(BaseException):
    """Raised where an invariant is broken.

    It is no ``Exception``, so that no handler which turns errors into responses
    goes on serving with it.
    """

    def __init__(self, invariant: Invariant, detail: str) -> None:
        super().__init__(f"{invariant} ({detail})")
        self.invariant = invariant


Listener = Callable[[InvariantBroken], None]
_listeners: list[Listener] = []


def require(holds: bool, invariant: Invariant, detail: str, *values: object) -> None:
    """Tell every listener and raise ``InvariantBroken`` unless ``holds``.

    ``detail`` is formatted with ``values`` only when it is needed.

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
    """Have ``listener`` told of a broken invariant; return what ends that."""
    _listeners.append(listener)
    return lambda: _listeners.remove(listener)
