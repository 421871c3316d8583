"""How often a node reads the platform's tables."""

from fireflyward.feeds import Pace

# The feed responds at once when the configuration changes. A call that finds no change
# returns after this wait, which proves that the cached keys are still valid. With the
# feed's own limit for a call's overhead, a node detects a silent connection in 2.2 s,
# or in 2.6 s if the store was slow before.
_WAIT_MS = 1_900
# A change must be in force in time also if the answer with it is lost. The rest of the
# time is for the limit of that call, a pause and the next call.
_CONFIGURATION_WAIT_SHARE = 0.7
# An aggregator forwards its proof, which ages by one such wait at each aggregator.
# Behind two aggregators, a node's proof is at most 2.5 s old. Each call takes 1.5 ms of
# processor time at both ends.
_SHARED_WAIT_MS = 1_200
_AGGREGATOR_WAIT_MS = 600
# The renewal of an entry alone is no change, so calls to the feed of replicas can wait
# too. When many entries change at once, as in a release, the pause combines them into
# one response. A leaving replica must get no requests after the drain time. A call on a
# silent connection is cancelled at most 0.7 s after its wait, the feed's highest limit
# for a call's overhead. The rest of the drain time is for a second call, or for two
# more nodes between this node and the store.
_REPLICAS_WAIT_SHARE = 0.45
_REPLICAS_PAUSE_SHARE = 0.1
_SHARED_REPLICAS_WAIT_SHARE = 0.3
_SHARED_REPLICAS_PAUSE_SHARE = 0.05
# A few nodes per minute start or stop; each change ends the wait. The pause combines
# successive changes into one response: while all nodes start, each of them writes a
# row. Where every node reads from the store itself, the pause is longer: the number of
# calls to the store matters more there than a few seconds of delay.
_NODES = Pace(wait_ms=1_500, pause_ms=6_500)
_SHARED_NODES = Pace(wait_ms=1_500, pause_ms=2_000)
_NODES_AT_START = Pace(wait_ms=300, pause_ms=250)


def configuration_pace(
    config_apply_ms: int, *, is_shared: bool, serves_other_nodes: bool
) -> Pace:
    """Return the pace for the configuration: without, behind or as an aggregator.

    >>> configuration_pace(2_000, is_shared=False, serves_other_nodes=False)
    Pace(wait_ms=1400, pause_ms=0)
    """
    wait_ms = _longest_wait_ms(
        is_shared=is_shared, serves_other_nodes=serves_other_nodes
    )
    return Pace(min(wait_ms, int(config_apply_ms * _CONFIGURATION_WAIT_SHARE)))


def replicas_pace(drain_ms: int, *, is_shared: bool, serves_other_nodes: bool) -> Pace:
    """Return the pace for the list of replicas.

    >>> replicas_pace(2_000, is_shared=False, serves_other_nodes=False)
    Pace(wait_ms=900, pause_ms=200)
    """
    wait_share, pause_share = _REPLICAS_WAIT_SHARE, _REPLICAS_PAUSE_SHARE
    if is_shared:
        wait_share = _SHARED_REPLICAS_WAIT_SHARE
        pause_share = _SHARED_REPLICAS_PAUSE_SHARE
    wait_ms = _longest_wait_ms(
        is_shared=is_shared, serves_other_nodes=serves_other_nodes
    )
    wait_ms = min(wait_ms, int(drain_ms * wait_share))
    return Pace(wait_ms, int(drain_ms * pause_share))


def _longest_wait_ms(*, is_shared: bool, serves_other_nodes: bool) -> int:
    """Return the longest wait after which the cached keys are still proven valid."""
    if serves_other_nodes:
        return _AGGREGATOR_WAIT_MS
    return _SHARED_WAIT_MS if is_shared else _WAIT_MS


def nodes_pace(*, is_complete: bool, is_shared: bool) -> Pace:
    """Return the pace for the list of nodes: fast until this node is listed."""
    if not is_complete:
        return _NODES_AT_START
    return _SHARED_NODES if is_shared else _NODES
