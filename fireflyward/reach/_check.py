"""Decides whether a failure domain is out of reach, from a few tried connections."""

import random
from collections.abc import Iterable

from fireflyward.replicas import ReplicaState

# Replicas tried at once in one look. That all of them lose a packet on a sound link,
# of which one in thirty may be lost, happens once in a thousand looks.
_TRIED = 2


class DomainCheck:
    """What is tried in one failure domain, and what that shows; no I/O.

    The load that it answers: a failure domain is cut off. Each node sends on to
    each of its replicas until a connection has timed out there, so that with
    dozens of replicas one request after the other waits a third of a second in
    vain. One silent replica may be dead by itself; when others of its domain that
    are tried at once are silent too, the domain is taken to be out of reach, and
    requests go there only if nothing else is left. It is tried on without them,
    and one connection that comes about ends it.
    """

    __slots__ = ("_random",)

    def __init__(self, *, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def to_try(self, states: Iterable[ReplicaState]) -> list[ReplicaState]:
        """Return the replicas to connect to now, of those listed in the domain."""
        listed = [state for state in states if not state.is_leaving]
        return self._random.sample(listed, min(_TRIED, len(listed)))

    def is_lost(self, tried: int, *, reached: int) -> bool:
        """Tell whether a domain is out of reach, by how many let this node connect.

        Of a domain in which nothing is listed any more nothing is known, and
        nothing is sent there anyway.

        >>> check = DomainCheck()
        >>> check.is_lost(2, reached=0), check.is_lost(2, reached=1)
        (True, False)
        """
        return tried > 0 and reached == 0
