"""Sums of the other nodes' requests, and the total over all nodes."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._group_sums import GroupKey, GroupSum, SumByGroup, add_sums

# A sender repeats its sums every 500 ms while a service is short, so this allows for
# three lost messages. Older totals describe another load: bursts last 3 s.
EXPIRY_MS = 2_000
# An aggregator adds up the sums of its whole domain, which takes some ms, each time
# that it publishes them. Until then it uses the last result. A few sums are always
# added up.
_CACHE_MS = 600
_MAX_UNCACHED = 12


@dataclass(frozen=True, slots=True)
class Total:
    """The sums over all nodes, and the age of the message that they come from."""

    sums: dict[GroupKey, GroupSum]
    age_ms: int = 0


class _Received:
    """The last sums from each sender, by service."""

    __slots__ = ("_last_by_sender",)

    def __init__(self) -> None:
        self._last_by_sender: dict[tuple[str, int], tuple[int, SumByGroup]] = {}

    def record(self, now_ms: int, sender: str, service: int, sums: SumByGroup) -> None:
        if sums:
            self._last_by_sender[sender, service] = now_ms, sums
        else:
            self._last_by_sender.pop((sender, service), None)

    def fresh(self, now_ms: int) -> Mapping[tuple[str, int], tuple[int, SumByGroup]]:
        """Return the sums that are not too old, with the time of their arrival."""
        old = [
            key
            for key, (at_ms, _) in self._last_by_sender.items()
            if now_ms - at_ms >= EXPIRY_MS
        ]
        for key in old:
            del self._last_by_sender[key]
        return self._last_by_sender


class PeerSums:
    """Sums of the requests of all nodes, as they report them to each other; no I/O.

    The topology is that of ``replicas.PeerLoad``: a few nodes report to all others, and
    many nodes to the aggregator of their failure domain, which returns the total. A
    total is used only while it is fresh, so that a node that is cut off decides by its
    own estimates.

    >>> peers = PeerSums()
    >>> peers.total(0, 7, {}) is None
    True
    >>> peers.set_alone(True)
    >>> peers.total(0, 7, {})
    Total(sums={}, age_ms=0)
    """

    __slots__ = (
        "_domain_sums",
        "_followed",
        "_is_alone",
        "_last_by_service",
        "_reports",
        "_totals",
        "invalid_messages",
    )

    def __init__(self) -> None:
        self._reports = _Received()
        self._domain_sums = _Received()
        self._totals = _Received()
        self._last_by_service: dict[int, tuple[int, Total | None]] = {}
        self._followed: str | None = None
        self._is_alone = False
        self.invalid_messages = 0

    def set_alone(self, is_alone: bool) -> None:
        """Set whether there are no other nodes; the own sums are then the total."""
        self._is_alone = is_alone

    def follow(self, aggregator: str | None) -> None:
        """Use this aggregator's totals; with None, add up the received sums."""
        self._followed = aggregator

    def on_report(self, now_ms: int, node: str, service: int, sums: SumByGroup) -> None:
        """Replace the sums of one node."""
        self._reports.record(now_ms, node, service, sums)

    def on_domain_sum(
        self, now_ms: int, aggregator: str, service: int, sums: SumByGroup
    ) -> None:
        """Replace the sums of the nodes that report to another aggregator."""
        self._domain_sums.record(now_ms, aggregator, service, sums)

    def on_total(
        self, now_ms: int, aggregator: str, service: int, sums: SumByGroup
    ) -> None:
        """Replace an aggregator's total."""
        self._totals.record(now_ms, aggregator, service, sums)

    def sum_senders(self, now_ms: int) -> set[str]:
        """Return the aggregators that recently sent this node their sums."""
        return {sender for sender, _ in self._domain_sums.fresh(now_ms)}

    def expire(self, now_ms: int) -> None:
        """Drop what is too old, also of services that are no longer requested."""
        for part in (self._reports, self._domain_sums, self._totals):
            part.fresh(now_ms)
        self._last_by_service = {
            service: (at_ms, total)
            for service, (at_ms, total) in self._last_by_service.items()
            if now_ms - at_ms < _CACHE_MS
        }

    def services(self, now_ms: int) -> set[int]:
        """Return the services of which fresh sums were received."""
        received = (self._reports, self._domain_sums, self._totals)
        return {key[1] for part in received for key in part.fresh(now_ms)}

    def add_up(
        self, now_ms: int, service: int
    ) -> tuple[dict[GroupKey, GroupSum], Total | None]:
        """Return the sum of the nodes' reports, and that with the aggregators' sums."""
        reports = _of_service(self._reports, now_ms, service)
        domain_sums = _of_service(self._domain_sums, now_ms, service)
        reported = add_sums(reports)
        parts = [*reports, *domain_sums]
        total = None
        if parts:
            age_ms = max(age_ms for age_ms, _ in parts)
            total = Total(add_sums(((0, reported), *domain_sums)), age_ms)
        if len(parts) > _MAX_UNCACHED:
            self._last_by_service[service] = now_ms, total
        else:
            self._last_by_service.pop(service, None)
        return reported, total

    def total(self, now_ms: int, service: int, own: SumByGroup) -> Total | None:
        """Return the total with this node's ``own`` sums, None if there is none."""
        if self._followed is not None:
            found = self._totals.fresh(now_ms).get((self._followed, service))
            if found is None:
                return None
            age_ms = now_ms - found[0]
            return Total(add_sums(((age_ms, found[1]),)), age_ms)
        at_ms, received = self._last_by_service.get(service, (now_ms, None))
        if received is None or now_ms - at_ms >= _CACHE_MS:
            at_ms, received = now_ms, self.add_up(now_ms, service)[1]
        if received is None:
            return Total(dict(own)) if self._is_alone else None
        age_ms = now_ms - at_ms
        sums = add_sums(((age_ms, received.sums), (0, own)))
        return Total(sums, received.age_ms + age_ms)


def _of_service(
    received: _Received, now_ms: int, service: int
) -> list[tuple[int, SumByGroup]]:
    """Return the sums of a service from each sender, with their ages."""
    return [
        (now_ms - at_ms, sums)
        for (_, name), (at_ms, sums) in received.fresh(now_ms).items()
        if name == service
    ]
