"""The nodes that hold the record of a stream beside the one where it began."""

from collections.abc import Collection, Iterable

from fireflyward.aggregators import Member
from fireflyward.rendezvous import rendezvous_rank

_HOLDERS = 3


def choose_holders(key: int, members: Iterable[Member]) -> list[Member]:
    """Return the nodes that hold a stream's record; all nodes compute the same ones.

    They are in different failure domains as far as there are enough, so that a record
    outlives the loss of a domain.

    >>> nodes = [Member(n, n[0], ("10.0.0.1", 1), 1) for n in ("a1", "a2", "b1", "c1")]
    >>> sorted(member.failure_domain for member in choose_holders(17, nodes))
    ['a', 'b', 'c']
    """
    ranked = sorted(members, key=lambda item: rendezvous_rank(str(key), item.name))
    first_of_domain: dict[str, Member] = {}
    for member in ranked:
        first_of_domain.setdefault(member.failure_domain, member)
    chosen = list(first_of_domain.values())[:_HOLDERS]
    return chosen + _others(ranked, chosen)[: _HOLDERS - len(chosen)]


def _others(ranked: list[Member], chosen: Collection[Member]) -> list[Member]:
    return [member for member in ranked if member not in chosen]
