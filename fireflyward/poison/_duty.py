"""Which nodes decide on parts of prompts, and in which order."""

from collections.abc import Iterable

from fireflyward.aggregators import Member
from fireflyward.rendezvous import rendezvous_rank

_DUTY = "poison"
# So many nodes of each failure domain may decide, so that a domain that is cut off has
# some, and all nodes of a large fleet do not ask all others.
_NODES_PER_DOMAIN = 3
# Time for a decision to reach the next node.
_STEP_MS = 150
# The other nodes decide after this time, unless one of the first has asked them. All of
# the first may have gone, since the list of nodes may name nodes that were removed.
_STANDBY_MS = 1_500
_STANDBY_SPREAD_MS = 1_000


def duty_delay_ms(node: Member, others: Iterable[Member]) -> int | None:
    """Return after which time a node decides on a crash, None if it is on standby.

    The first node of one domain decides at once. The others do if it has not.

    >>> nodes = [Member(f"n{i}", f"d{i % 2}", ("10.0.0.1", i), 1) for i in range(12)]
    >>> delays = [duty_delay_ms(node, nodes) for node in nodes]
    >>> sorted(delay for delay in delays if delay is not None)
    [0, 150, 300, 450, 600, 750]
    """
    members = [node, *(item for item in others if item.name != node.name)]
    domains = sorted({item.failure_domain for item in members}, key=_rank)
    neighbours = (
        item.name for item in members if item.failure_domain == node.failure_domain
    )
    number = sorted(neighbours, key=_rank).index(node.name)
    if number >= _NODES_PER_DOMAIN:
        return None
    steps = number * len(domains) + domains.index(node.failure_domain)
    return _STEP_MS * steps


def standby_delay_ms(node: Member, others: Iterable[Member]) -> int:
    """Return after which time a node on standby decides if no other node has.

    >>> nodes = [Member(f"n{i}", "d", ("10.0.0.1", i), 1) for i in range(100)]
    >>> delays = [standby_delay_ms(node, nodes) for node in nodes]
    >>> min(delays), max(delays)
    (1500, 2490)
    """
    return _STANDBY_MS + spread_delay_ms(node, others)


def spread_delay_ms(node: Member, others: Iterable[Member]) -> int:
    """Return a delay that differs from node to node, for what one of them should do."""
    names = {node.name, *(item.name for item in others)}
    place = sorted(names, key=_rank).index(node.name)
    return _STANDBY_SPREAD_MS * place // len(names)


def _rank(name: str) -> int:
    return rendezvous_rank(_DUTY, name)
