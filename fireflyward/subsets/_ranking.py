"""Orders a service's replicas for one node."""

import math
from collections.abc import Sequence

from fireflyward.rendezvous import rendezvous_rank
from fireflyward.replicas import ReplicaState

_RANKS = 1 << 64
# Smallest weight of a replica, as a share of the mean number of slots. With its few
# slots as weight, a replica could be in no node's subset.
_MIN_WEIGHT = 0.5


def rank_replicas(
    node: str, failure_domain: str, states: Sequence[ReplicaState]
) -> list[ReplicaState]:
    """Return the replicas in the order in which they enter the node's subset.

    Within a failure domain the order is by weighted rendezvous hashing of node and
    replica: a replica with twice the slots is in the subsets of twice as many nodes,
    and when one is added or removed the order of the others stays. Every first part of
    the result has each domain in proportion to its slots, so each replica gets about
    the same load for each slot. The first replica is one of the node's own domain.
    """
    mean_slots = sum(_slots(state) for state in states) / max(1, len(states))
    weight_by_id = {
        state.incarnation_id: max(_slots(state), _MIN_WEIGHT * mean_slots)
        for state in states
    }
    states_by_domain: dict[str, list[ReplicaState]] = {}
    for state in states:
        states_by_domain.setdefault(state.entry.failure_domain, []).append(state)
    position_by_id: dict[int, float] = {}
    for domain, members in states_by_domain.items():
        members.sort(
            key=lambda state: _score(node, state, weight_by_id[state.incarnation_id]),
            reverse=True,
        )
        total = sum(weight_by_id[state.incarnation_id] for state in members)
        # The offset differs between nodes. Without it, all nodes would take the
        # replica that remains when a size isn't divisible from the same domain.
        offset = rendezvous_rank(node, f"domain {domain}") / _RANKS
        before = 0.0
        for state in members:
            weight = weight_by_id[state.incarnation_id]
            position_by_id[state.incarnation_id] = (before + offset * weight) / total
            before += weight
    if failure_domain in states_by_domain:
        position_by_id[states_by_domain[failure_domain][0].incarnation_id] = -1.0
    everyone = (state for members in states_by_domain.values() for state in members)
    return sorted(everyone, key=lambda state: position_by_id[state.incarnation_id])


def _score(node: str, state: ReplicaState, weight: float) -> float:
    share = (rendezvous_rank(node, state.entry.incarnation) + 1) / (_RANKS + 1)
    return weight / -math.log(share) if share < 1 else math.inf


def _slots(state: ReplicaState) -> int:
    return max(1, state.entry.slots)
