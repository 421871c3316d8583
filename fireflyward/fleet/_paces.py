"""How often a node reads the platform's tables."""

from fireflyward.feeds import Pace

# The configuration's feed answers at once when something changes; a call that
# finds nothing returns after this long and so proves that the keys are fresh. With
# the feed's own slack it also finds a silent connection in 2.6 s.
_CONFIGURATION = Pace(1_900)
# An aggregator's proof is passed on, and ages by one more such wait on the way: with
# two aggregators before it a node's is 2.5 s old at the most. Each call is 1.5 ms of
# processor time at both ends.
_SHARED_CONFIGURATION = Pace(1_200)
_AGGREGATOR_CONFIGURATION = Pace(600)
# An entry changes when more than its renewal does, so the feed of replicas rests as
# well. Where many change at once, as in a release, a pause puts them into one answer;
# a leaving replica must get nothing after the drain time, of which it is a twentieth.
# A wait that a silent connection swallows ends with the feed's slack of 0.7 s; with a
# third of the drain time that leaves time for a second try.
_PAUSE_SHARE = 0.05
_WAIT_SHARE = 0.3


def configuration_pace(*, is_shared: bool, is_for_others: bool) -> Pace:
    """Return how the configuration is read: alone, from or as an aggregator.

    >>> configuration_pace(is_shared=False, is_for_others=False)
    Pace(wait_ms=1900, pause_ms=0)
    """
    if is_for_others:
        return _AGGREGATOR_CONFIGURATION
    return _SHARED_CONFIGURATION if is_shared else _CONFIGURATION


def replicas_pace(drain_ms: int, *, is_shared: bool, is_for_others: bool) -> Pace:
    """Return how the list of replicas is read.

    >>> replicas_pace(2_000, is_shared=False, is_for_others=False)
    Pace(wait_ms=600, pause_ms=100)
    """
    pace = configuration_pace(is_shared=is_shared, is_for_others=is_for_others)
    wait_ms = min(pace.wait_ms, int(drain_ms * _WAIT_SHARE))
    return Pace(wait_ms, int(drain_ms * _PAUSE_SHARE))
