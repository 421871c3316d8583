"""Decides whether a failure domain is reachable, from a few probe connections."""

import enum
import random
from collections.abc import Callable, Iterable

from fireflyward.replicas import ReplicaState

# Replicas that are probed at once. On a working link, where one packet in thirty may be
# lost, the probes of all of them fail once in a thousand checks.
_PROBED_REPLICAS = 2


class DomainReach(enum.Enum):
    """How this node reaches a failure domain.

    ``RELAYED`` means that only other nodes can connect to its replicas.
    """

    DIRECT = "direct"
    RELAYED = "relayed"
    NONE = "none"


class DomainCheck:
    """Chooses the replicas to probe in a failure domain and evaluates probes; no I/O.

    This prevents the following delay: a failure domain is cut off. Each node goes on
    sending to each of its replicas until a connection there has timed out, so with
    dozens of replicas one request after another waits a third of a second without
    result. A single silent replica may have failed alone. If other replicas of its
    domain that are probed at once are silent too, the domain is considered unreachable,
    unless another node can connect to one of them: then this node's own links are cut,
    and its requests go through other nodes. The node goes on probing without requests,
    and the first successful connection makes the domain reachable again.
    """

    __slots__ = ("_random",)

    def __init__(self, *, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def choose_replicas(
        self,
        states: Iterable[ReplicaState],
        is_relayed: Callable[[ReplicaState], bool] = lambda state: False,
    ) -> list[ReplicaState]:
        """Return the replicas to probe now, of those listed in the domain.

        Replicas that are known to be reached only through other nodes say nothing
        about the others, and are probed only if there are no others. An entry may name
        a host that does not exist: those to which this node has connected come first.
        """
        listed = [state for state in states if not state.is_leaving]
        listed = [state for state in listed if not is_relayed(state)] or listed
        self._random.shuffle(listed)
        # False sorts first.
        listed.sort(key=lambda state: not state.has_connected)
        return listed[:_PROBED_REPLICAS]

    def is_unreachable(self, probed: int, *, reached: int) -> bool:
        """Return whether a domain is unreachable, by the number of successful probes.

        A domain without listed replicas counts as reachable; it gets no requests.

        >>> check = DomainCheck()
        >>> check.is_unreachable(2, reached=0), check.is_unreachable(2, reached=1)
        (True, False)
        """
        return probed > 0 and reached == 0

    def is_whole(self, probed: int, *, reached: int) -> bool:
        """Return whether a relayed domain is reached directly again.

        If only a part of its replicas is cut off, probes fail and succeed in turn. All
        of them have to succeed, so that requests do not change their path with them.
        """
        return reached == probed
