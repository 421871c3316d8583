"""Estimates how many of the runs at a replica share a prefix."""

from collections import Counter

# Counts are kept for this long to twice as long. Popular prefixes change over minutes,
# and a node sends a replica about one request a second.
_PERIOD_MS = 20_000
# The share at the service counts as much as this many sends to the replica: fewer sends
# say little about one replica.
_PRIOR_SENDS = 4.0

_Key = tuple[object, str]


class PrefixShares:
    """Counts this node's sends by replica and prefix; no I/O.

    >>> shares = PrefixShares()
    >>> for _ in range(12):
    ...     shares.on_send(0, "s", 17, "p")
    >>> shares.share("s", 17, "p"), shares.share("s", 17, "other")
    (1.0, 0.0)
    """

    __slots__ = ("_counts", "_earlier", "_since_ms")

    def __init__(self) -> None:
        self._counts: Counter[_Key] = Counter()
        self._earlier: Counter[_Key] = Counter()
        self._since_ms = 0

    def on_send(self, now_ms: int, service: str, replica: int, prefix: str) -> None:
        """Count a send to a replica, with an empty prefix if it shares none."""
        if now_ms - self._since_ms >= _PERIOD_MS:
            self._earlier, self._counts = self._counts, Counter()
            self._since_ms = now_ms
        for place in service, replica:
            self._counts[place, ""] += 1
            if prefix:
                self._counts[place, prefix] += 1

    def share(
        self,
        service: str,
        replica: int,
        prefix: str,
        *,
        own: int = 0,
        own_runs: int = 0,
    ) -> float:
        """Return the share of the sends to a replica that have a prefix.

        ``own`` of this node's ``own_runs`` runs there have it now. They are left out:
        the share is for the other nodes' runs, and one send among few would make a rare
        prefix appear frequent.
        """
        at_service = self._count(service, prefix) / max(1, self._count(service, ""))
        sends = max(0, self._count(replica, "") - own_runs)
        with_prefix = min(sends, max(0, self._count(replica, prefix) - own))
        return (with_prefix + _PRIOR_SENDS * at_service) / (sends + _PRIOR_SENDS)

    def _count(self, place: object, prefix: str) -> int:
        return self._counts[place, prefix] + self._earlier[place, prefix]


def expected_part(share: float, own: int, others: int) -> float:
    """Return the part of a prefix that a node counts for its runs with this prefix.

    ``own`` of its runs have the prefix, and each of ``others`` runs of other nodes has
    it with probability ``share``. If k of them do, this node counts own / (own + k) of
    the prefix, and all nodes together count it once. The result is the expected value.

    >>> expected_part(1.0, 1, 7), expected_part(0.0, 1, 7), expected_part(0.5, 1, 1)
    (0.125, 1.0, 0.75)
    """
    share = min(1.0, max(0.0, share))
    if share == 1:
        return own / (own + others)
    probability = (1 - share) ** others
    part = 0.0
    for count in range(others + 1):
        if not probability:
            # All further terms are 0 too. A wrong report may have billions of runs.
            break
        part += probability * own / (own + count)
        probability *= (others - count) / (count + 1) * share / (1 - share)
    return min(1.0, max(own / (own + others), part))
