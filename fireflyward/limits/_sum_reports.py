"""Sends this node's sums of short services to other nodes, and receives theirs."""

import logging
from collections.abc import Callable
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.peers import PeerLink

from ._group_sums import GroupKey, GroupKind, GroupSum, LocalSums, SumByGroup, add_sums
from ._limits_structs import FairnessSums
from ._peer_sums import PeerSums
from ._sum_messages import MAX_REPORTED_ACCOUNTS, decode_sums, encode_sums

log = logging.getLogger("fireflyward.limits")

_REPORT = "fairness sums"
_DOMAIN_SUM = "fairness sums of a domain"
_TOTAL = "fairness sums of all"
# A total is then at most 1 s old, a third of a burst, and a total of 40 entries costs
# some 2 KB per second and short service at each node.
_PERIOD_MS = 500
# An aggregator needs some 0.45 ms per node of its domain and short service for each
# period; with 20 ms per node this stays near 2.3% of a core.
_MS_PER_NEIGHBOUR = 20
# With fewer late or rejected requests over all nodes a service isn't reported: 2 s
# after a single one its sum is below this.
_MIN_LATE = 0.5
_LATE: GroupKey = (GroupKind.LATE, 0)


class SumReportTask:
    """Reports the sums of short services; sends nothing while none is short.

    A service is short if requests were late or rejected recently at this node, or at
    any node by the sums that it received.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sums: LocalSums,
        peers: PeerSums,
        aggregators: Aggregators,
        applies: Callable[[], bool] = lambda: True,
    ) -> None:
        self._applies = applies
        self._clock = clock
        self._sums = sums
        self._peers = peers
        self._aggregators = aggregators
        self._reported_to: Member | None = None
        self._published_services: set[int] = set()
        self._warned_senders: set[str] = set()

    async def run(self, link: PeerLink) -> None:
        """Send and receive sums until cancelled."""
        self.register(link)
        while True:
            neighbours = len(self._aggregators.neighbour_addresses())
            await self._clock.sleep_ms(max(_PERIOD_MS, _MS_PER_NEIGHBOUR * neighbours))
            if self._applies():
                self.report(link)

    def register(self, link: PeerLink) -> None:
        """Register the handlers for the other nodes' messages."""
        handlers = {
            _REPORT: self._peers.on_report,
            _DOMAIN_SUM: self._peers.on_domain_sum,
            _TOTAL: self._peers.on_total,
        }
        for kind, record in handlers.items():
            link.register(kind, FairnessSums, self._handler(record), expires=True)

    def report(self, link: PeerLink) -> None:
        """Send the sums of the short services, to all nodes or to the aggregator."""
        now_ms = self._clock.now_ms()
        self._peers.expire(now_ms)
        addresses = self._aggregators.all_addresses()
        self._peers.set_alone(not addresses)
        if not self._aggregators.are_needed:
            self._peers.follow(None)
            for service, own in self._short_services(now_ms):
                link.send_all(addresses, _REPORT, _encode_report(service, own))
            return
        aggregator = self._aggregators.own_aggregator(now_ms)
        self._change_aggregator(link, now_ms, aggregator)
        if aggregator is not None:
            for service, own in self._short_services(now_ms):
                link.send(aggregator.address, _REPORT, _encode_report(service, own))
        self._publish(link, now_ms, is_aggregator=aggregator is None)

    def _change_aggregator(
        self, link: PeerLink, now_ms: int, aggregator: Member | None
    ) -> None:
        """Withdraw the sums from the last aggregator; they would be counted twice."""
        self._peers.follow(aggregator.name if aggregator is not None else None)
        if aggregator == self._reported_to:
            return
        if self._reported_to is not None:
            for service in self._sums.services():
                empty = encode_sums(service, {})
                link.send(self._reported_to.address, _REPORT, empty)
        self._reported_to = aggregator

    def _publish(self, link: PeerLink, now_ms: int, *, is_aggregator: bool) -> None:
        """Send the sum of the reports to other aggregators, and the total to nodes."""
        senders = self._peers.sum_senders(now_ms)
        others = self._aggregators.publishing_nodes(now_ms, senders)
        neighbours = self._aggregators.neighbour_addresses()
        services = self._peers.services(now_ms) | self._published_services
        published, self._published_services = self._published_services, set()
        if is_aggregator:
            services |= set(self._sums.services())
        for service in services:
            own = self._sums.of_service(now_ms, service) if is_aggregator else {}
            reported, received = self._peers.add_up(now_ms, service)
            domain = add_sums(((0, reported), (0, own)))
            total = add_sums(((0, received.sums if received else {}), (0, own)))
            if not _is_short(total):
                continue
            if domain:
                self._published_services.add(service)
            if domain or service in published:
                # Without nodes that report here, an empty sum withdraws the last one.
                message = encode_sums(service, domain)
                link.send_all([x.address for x in others], _DOMAIN_SUM, message)
            if is_aggregator or domain:
                link.send_all(neighbours, _TOTAL, encode_sums(service, total))

    def _short_services(
        self, now_ms: int
    ) -> list[tuple[int, dict[GroupKey, GroupSum]]]:
        short = []
        for service in self._sums.services():
            own = self._sums.of_service(now_ms, service)
            total = self._peers.total(now_ms, service, own)
            if _is_short(own) or (total is not None and _is_short(total.sums)):
                short.append((service, own))
        return short

    def _handler(self, record: Callable[[int, str, int, SumByGroup], None]) -> Any:
        async def handle(sender: str, message: Any) -> None:
            sums = decode_sums(message)
            if sums is not None:
                record(self._clock.now_ms(), sender, message.service_id, sums)
                return
            self._peers.invalid_messages += 1
            if sender not in self._warned_senders:
                self._warned_senders.add(sender)
                log.warning("limits: sums from %s are malformed and not used", sender)

        return handle


def _is_short(sums: SumByGroup) -> bool:
    late = sums.get(_LATE)
    return late is not None and late.arrived >= _MIN_LATE


def _encode_report(service: int, own: SumByGroup) -> Any:
    return encode_sums(service, own, max_accounts=MAX_REPORTED_ACCOUNTS)
