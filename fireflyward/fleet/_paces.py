"""How often a node reads the platform's tables."""

from fireflyward.feeds import Pace

# The configuration's feed answers at once when something changes; a call that
# finds nothing returns after this long and so proves that the keys are fresh. With
# the feed's own slack it also finds a silent connection in 2.6 s.
_CONFIGURATION = Pace(1_900)
# An aggregator's proof is passed on, and ages by one more such wait on the way.
_SHARED_CONFIGURATION = Pace(900)
_AGGREGATOR_CONFIGURATION = Pace(600)
# Replicas renew their entries all the time, so a feed without a pause would never
# rest. A leaving replica must get nothing after the drain time; half of it leaves a
# second try, and a seventh does so where the news goes through an aggregator.
_REPLICAS_WAIT_MS = 100
_REPLICAS_PAUSE_SHARE = 0.5
_SHARED_REPLICAS_PAUSE_SHARE = 0.14


def configuration_pace(*, is_shared: bool, is_for_others: bool) -> Pace:
    """Return how the configuration is read: alone, from or as an aggregator.

    >>> configuration_pace(is_shared=False, is_for_others=False)
    Pace(wait_ms=1900, pause_ms=0)
    """
    if is_for_others:
        return _AGGREGATOR_CONFIGURATION
    return _SHARED_CONFIGURATION if is_shared else _CONFIGURATION


def replicas_pace(drain_ms: int, *, is_shared: bool) -> Pace:
    """Return how the list of replicas is read.

    >>> replicas_pace(2_000, is_shared=False), replicas_pace(2_000, is_shared=True)
    (Pace(wait_ms=100, pause_ms=1000), Pace(wait_ms=100, pause_ms=280))
    """
    share = _SHARED_REPLICAS_PAUSE_SHARE if is_shared else _REPLICAS_PAUSE_SHARE
    return Pace(_REPLICAS_WAIT_MS, int(drain_ms * share))
