"""How long requests of each rank wait for a place at a replica that has none free."""

# Until something was seen, requests are taken to wait as if replicas admitted them in
# the order in which they came.
_FIRST_SHARE = 1.0
_MOST_SHARE = 1.5
# One answer moves the share by a fifth: a node sees some ten in a second of overload.
_WEIGHT = 0.2
# Shorter waits are lost in the noise of reading.
LEAST_PLACE_MS = 20.0


class PlaceWaits:
    """Learns what part of the wait for slots and memory a rank really has; no I/O.

    The load that it answers: after a load of weights a few replicas carry all, and
    more requests than they have slots wait there. Replicas admit the urgent first,
    so that these wait next to nothing while the others wait long. With one estimate
    for all ranks short urgent requests were refused that had their first token in a
    quarter of the time which was expected.

    >>> waits = PlaceWaits()
    >>> waits.share("s", 0)
    1.0
    >>> for _ in range(40):
    ...     waits.learn("s", 0, place_ms=200.0, waited_ms=0.0)
    >>> waits.share("s", 0) < 0.01, waits.share("s", 1)
    (True, 1.0)
    """

    __slots__ = ("_share_by_rank",)

    def __init__(self) -> None:
        self._share_by_rank: dict[tuple[str, int], float] = {}

    def share(self, service: str, rank: int) -> float:
        """Return what part of the wait for a place requests of a rank have."""
        return self._share_by_rank.get((service, rank), _FIRST_SHARE)

    def learn(
        self, service: str, rank: int, *, place_ms: float, waited_ms: float
    ) -> None:
        """Take what a wait of ``place_ms`` in order of arrival came to."""
        if place_ms < LEAST_PLACE_MS:
            return
        seen = min(max(waited_ms / place_ms, 0.0), _MOST_SHARE)
        share = self.share(service, rank)
        self._share_by_rank[service, rank] = share + _WEIGHT * (seen - share)
