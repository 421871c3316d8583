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
# well. Where many change at once, as in a release, a pause puts them into one answer.
# A leaving replica must get nothing after the drain time: a wait that a silent
# connection swallows ends with the feed's slack of 0.7 s, and what these shares of the
# drain time leave is for a second try, or for two more nodes on the way.
_REPLICAS_WAIT_SHARE = 0.45
_REPLICAS_PAUSE_SHARE = 0.1
_SHARED_REPLICAS_WAIT_SHARE = 0.3
_SHARED_REPLICAS_PAUSE_SHARE = 0.05
# Nodes come and go a few a minute, and a change ends the wait. The pause puts what
# changes shortly after each other into one answer: while all nodes start, each of
# them writes a row. Where each node asks the store, calls count more than seconds.
_NODES = Pace(wait_ms=1_500, pause_ms=6_500)
_SHARED_NODES = Pace(wait_ms=1_500, pause_ms=2_000)
_NODES_AT_START = Pace(wait_ms=300, pause_ms=250)


def configuration_pace(*, is_shared: bool, serves_other_nodes: bool) -> Pace:
    """Return how the configuration is read: alone, from or as an aggregator.

    >>> configuration_pace(is_shared=False, serves_other_nodes=False)
    Pace(wait_ms=1900, pause_ms=0)
    """
    if serves_other_nodes:
        return _AGGREGATOR_CONFIGURATION
    return _SHARED_CONFIGURATION if is_shared else _CONFIGURATION


def replicas_pace(drain_ms: int, *, is_shared: bool, serves_other_nodes: bool) -> Pace:
    """Return how the list of replicas is read.

    >>> replicas_pace(2_000, is_shared=False, serves_other_nodes=False)
    Pace(wait_ms=900, pause_ms=200)
    """
    wait_share, pause_share = _REPLICAS_WAIT_SHARE, _REPLICAS_PAUSE_SHARE
    if is_shared:
        wait_share = _SHARED_REPLICAS_WAIT_SHARE
        pause_share = _SHARED_REPLICAS_PAUSE_SHARE
    pace = configuration_pace(
        is_shared=is_shared, serves_other_nodes=serves_other_nodes
    )
    wait_ms = min(pace.wait_ms, int(drain_ms * wait_share))
    return Pace(wait_ms, int(drain_ms * pause_share))


def nodes_pace(*, is_complete: bool, is_shared: bool) -> Pace:
    """Return how the list of nodes is read: soon again until this node is on it."""
    if not is_complete:
        return _NODES_AT_START
    return _SHARED_NODES if is_shared else _NODES
