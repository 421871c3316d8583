"""Numbers that distinguish the instances of a node."""

import secrets

from fireflyward.clock import Clock

_RANDOM_BITS = 20


def new_incarnation(clock: Clock) -> int:
    """Return a number for an instance of a node, higher than those of earlier ones.

    The low bits are random, since two instances may start within one millisecond of the
    wall clock, for example after it was set back. With the same number, other nodes
    would drop the frames of the second instance as repetitions. If the clock was set
    back further, the number is too low, and ``PeerLink`` raises it.

    >>> from fireflyward.clock import ManualClock
    >>> new_incarnation(ManualClock(8)) > new_incarnation(ManualClock(7))
    True
    """
    return clock.wall_ms() << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)
