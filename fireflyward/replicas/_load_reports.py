"""Sends this node's in-flight load to the other nodes, and receives theirs."""

import logging
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.decoding import MAX_INT32
from fireflyward.peers import PeerLink

from ._directory import ReplicaDirectory
from ._in_flight_load import InFlightLoad, LoadByReplica, PeerLoad
from ._kv_room import KvRoom
from ._replicas_structs import UnderWayNews
from ._state import ReplicaState

log = logging.getLogger("fireflyward.aggregators")


_REPORT, _SUM, _TOTAL = "under way", "under way in a domain", "under way in all"
# How often a node reports changes. Prefilling a prompt takes 5 to 100 ms: with older
# reports several nodes would send requests to the same replica. Reports to an
# aggregator can be less frequent, because the aggregator publishes sums less often.
_PERIOD_MS = 25
_TO_AGGREGATOR_PERIOD_MS = 50
# How often a node resends its load when nothing changes, because datagrams get lost.
_RESEND_MS = 700
# How often an aggregator publishes its sum and the total: 2 ms for each node that it
# sends to. For each of them it costs some 25 us to send and 150 us to receive.
_SUM_PERIOD_MS = 80
_SUM_MS_PER_NODE = 2.0
_FULL_SUM_PERIOD_MS = 500
# An aggregator publishes less often when its messages use more than this share of its
# link: a full link would delay the answers on it and the messages themselves.
_LINK_SHARE = 0.25
_BITS_PER_MS_PER_MBPS = 1_000
# An aggregator sends something at least this often, so that its failure is detected.
_KEEPALIVE_MS = 200
# Memory that changed by at most this share isn't reported again if no run began or
# ended; the estimate itself is off by about as much.
_RESIDENT_TOLERANCE = 0.125
# An entry takes 16 bytes; a datagram has room for 1,400.
_MAX_REPLICAS_PER_DATAGRAM = 75


class SumChanges:
    """Decides which entries of a sum to publish now; no I/O.

    >>> changes = SumChanges()
    >>> changes.due(0, {17: InFlightLoad(5, 5, 1)})
    {17: InFlightLoad(unprefilled=5, resident=5, requests=1)}
    >>> changes.due(80, {17: InFlightLoad(5, 5, 1)}) is None
    True
    >>> changes.due(160, {})
    {17: InFlightLoad(unprefilled=0, resident=0, requests=0)}
    """

    __slots__ = ("_last_full_ms", "_last_published_ms", "_published")

    def __init__(self) -> None:
        self._published: dict[int, InFlightLoad] = {}
        self._last_full_ms: int | None = None
        self._last_published_ms = 0

    @property
    def has_published(self) -> bool:
        """Return whether the last published sum had entries, not yet withdrawn."""
        return bool(self._published)

    def due(self, now_ms: int, total: dict[int, InFlightLoad]) -> LoadByReplica | None:
        """Return the entries to publish; empty for a keepalive, None for no message."""
        withdrawn = {
            name: InFlightLoad() for name in self._published if name not in total
        }
        if (
            self._last_full_ms is None
            or now_ms - self._last_full_ms >= _FULL_SUM_PERIOD_MS
        ):
            self._last_full_ms = now_ms
            changed = {**total, **withdrawn}
        else:
            known = self._published
            changed = {k: item for k, item in total.items() if known.get(k) != item}
            changed |= withdrawn
        self._published = total
        if not changed and now_ms - self._last_published_ms < _KEEPALIVE_MS:
            return None
        self._last_published_ms = now_ms
        return changed


class LoadReportTask:
    """Reports this node's load to all nodes or to the aggregator of its domain.

    On the aggregator itself it publishes the sum of its domain and the total.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        peers: PeerLoad,
        aggregators: Aggregators,
        node: str,
        failure_domain: str,
        link_mbps: float,
        kv_room: KvRoom | None = None,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._aggregators = aggregators
        self._node = node
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._kv_room = kv_room or KvRoom()
        # By incarnation id: the whole prompts of the own runs, and the reported tokens.
        self._resident_by_id: dict[int, tuple[int, int]] = {}
        self._last_report: dict[int, InFlightLoad] = {}
        self._last_report_ms = 0
        self._reported_to: Member | None = None
        self._sum_changes = SumChanges()
        self._total_changes = SumChanges()
        self._next_sum_ms = 0
        self._bytes_before = 0

    async def run(self, link: PeerLink) -> None:
        """Send and receive reports until cancelled."""
        self.register(link)
        while True:
            is_few = not self._aggregators.are_needed
            await self._clock.sleep_ms(
                _PERIOD_MS if is_few else _TO_AGGREGATOR_PERIOD_MS
            )
            self.report(link)

    def register(self, link: PeerLink) -> None:
        """Register the handlers for the other nodes' messages."""
        handlers = {
            _REPORT: self._on_load_report,
            _SUM: self._on_domain_sum,
            _TOTAL: self._on_total,
        }
        for kind, handle in handlers.items():
            link.register(
                kind,
                UnderWayNews,
                handle,
                expires=True,
                handle_delayed=self._on_delayed,
            )

    def report(self, link: PeerLink) -> None:
        """Send what changed since the last call."""
        if self._aggregators.are_needed:
            self._report_to_aggregator(link)
        else:
            self._report_to_everyone(link)

    def _own(self) -> dict[int, InFlightLoad]:
        busy = [
            state
            for state in self._directory.all()
            if state.in_flight or state.waiting_late
        ]
        busy_ids = {state.incarnation_id for state in busy}
        for incarnation_id in self._resident_by_id.keys() - busy_ids:
            del self._resident_by_id[incarnation_id]
        return {
            state.incarnation_id: InFlightLoad(
                int(state.unprefilled_tokens),
                self._resident_tokens(state),
                state.in_flight,
            )
            for state in busy
        }

    def _resident_tokens(self, state: ReplicaState) -> int:
        """Return the tokens to report, the last ones if they changed only a little.

        The part of a shared prefix that a node counts changes with the other nodes'
        requests. Each of them would otherwise be followed by a report of every node.
        """
        others = self._peers.at(self._clock.now_ms(), state.incarnation_id)
        tokens = int(self._kv_room.own_tokens(state, others.requests))
        whole, reported = self._resident_by_id.get(state.incarnation_id, (-1, 0))
        is_small_change = abs(tokens - reported) <= _RESIDENT_TOLERANCE * reported
        if state.resident_tokens == whole and is_small_change:
            return reported
        self._resident_by_id[state.incarnation_id] = state.resident_tokens, tokens
        return tokens

    def _is_due(self, now_ms: int, own: LoadByReplica) -> bool:
        """Return whether to send the own load now, and record it as sent if so.

        It is sent when it has changed, and resent periodically when it has not.
        """
        is_resend = bool(own) and now_ms - self._last_report_ms >= _RESEND_MS
        if own == self._last_report and not is_resend:
            return False
        self._last_report, self._last_report_ms = dict(own), now_ms
        return True

    def _report_to_everyone(self, link: PeerLink) -> None:
        self._peers.follow(None)
        own = self._own()
        if self._is_due(self._clock.now_ms(), own):
            link.send_all(self._aggregators.all_addresses(), _REPORT, _encode(own))

    def _report_to_aggregator(self, link: PeerLink) -> None:
        now_ms, own = self._clock.now_ms(), self._own()
        aggregator = self._aggregators.own_aggregator(now_ms)
        if aggregator != self._reported_to:
            self._change_aggregator(link, now_ms, aggregator)
        self._peers.follow(aggregator.name if aggregator is not None else None)
        if aggregator is not None and self._is_due(now_ms, own):
            link.send(aggregator.address, _REPORT, _encode(own))
            self._aggregators.on_sent_to(now_ms, aggregator.name)
            self._peers.on_own_report(now_ms, own)
        # When no node reports to this one any more, it still has to withdraw the
        # entries that it published last.
        if (
            aggregator is None
            or self._peers.has_reports
            or self._sum_changes.has_published
        ):
            self._publish_sums(link, now_ms, own if aggregator is None else {})

    def _change_aggregator(
        self, link: PeerLink, now_ms: int, aggregator: Member | None
    ) -> None:
        """Withdraw the load from the last aggregator; it would be counted twice."""
        name = aggregator.name if aggregator is not None else "this node"
        log.info("aggregators: %s is the aggregator of %s", name, self._failure_domain)
        if self._reported_to is not None:
            link.send(self._reported_to.address, _REPORT, _encode({}))
        self._reported_to, self._last_report = aggregator, {}
        self._peers.on_own_report(now_ms, {})

    def _publish_sums(self, link: PeerLink, now_ms: int, own: LoadByReplica) -> None:
        if now_ms < self._next_sum_ms - _PERIOD_MS / 2:
            return
        neighbours = self._aggregators.neighbour_addresses()
        self._next_sum_ms = now_ms + self._sum_period_ms(link, len(neighbours))
        self._publish_domain_sum(link, now_ms, _plus(self._peers.reported(now_ms), own))
        total = _plus(self._peers.total(now_ms), own)
        for part in _parts(self._total_changes.due(now_ms, total)):
            link.send_all(neighbours, _TOTAL, _encode(part))

    def _sum_period_ms(self, link: PeerLink, neighbours: int) -> float:
        """Return the time until the next sums, limited by the width of the link."""
        sent = link.bytes_sent - self._bytes_before
        self._bytes_before = link.bytes_sent
        carrying_ms = sent * 8 / (self._link_mbps * _BITS_PER_MS_PER_MBPS)
        least_ms = max(_SUM_PERIOD_MS, _SUM_MS_PER_NODE * neighbours)
        return max(least_ms, carrying_ms / _LINK_SHARE)

    def _publish_domain_sum(
        self, link: PeerLink, now_ms: int, own_sum: dict[int, InFlightLoad]
    ) -> None:
        """Send the sum of the reports that this node received to other aggregators.

        Two nodes of a domain may receive reports at the same time, when the reporting
        nodes disagree about which of the two is silent. Each aggregator that receives
        a sum from both sends its own sum to both.
        """
        senders = self._peers.sum_senders(now_ms)
        others = self._aggregators.publishing_nodes(now_ms, senders)
        addresses = [member.address for member in others]
        parts = _parts(self._sum_changes.due(now_ms, own_sum))
        for part in parts:
            link.send_all(addresses, _SUM, _encode(part))
        for member in others if parts else ():
            self._aggregators.on_sent_to(now_ms, member.name)

    async def _on_delayed(self, sender: str, message: Any) -> None:
        """Record that the sender was not silent; its loads are out of date."""
        self._aggregators.on_received_from(sender)

    async def _on_load_report(self, sender: str, message: Any) -> None:
        self._aggregators.on_received_from(sender)
        self._peers.on_load_report(self._clock.now_ms(), sender, _decode(message))

    async def _on_domain_sum(self, sender: str, message: Any) -> None:
        self._aggregators.on_received_from(sender)
        self._peers.on_domain_sum(self._clock.now_ms(), sender, _decode(message))

    async def _on_total(self, sender: str, message: Any) -> None:
        self._aggregators.on_received_from(sender)
        self._peers.on_total(self._clock.now_ms(), sender, _decode(message))


def _plus(
    total: dict[int, InFlightLoad], own: LoadByReplica
) -> dict[int, InFlightLoad]:
    """Add this node's own load to a sum."""
    for replica, load in own.items():
        total[replica] = total.get(replica, InFlightLoad()).plus(load)
    return total


def _parts(loads: LoadByReplica | None) -> list[LoadByReplica]:
    """Split loads into parts that fit into a datagram; no parts for None.

    >>> _parts(None), _parts({})
    ([], [{}])
    """
    if loads is None:
        return []
    items = list(loads.items())
    return [
        dict(items[first : first + _MAX_REPLICAS_PER_DATAGRAM])
        for first in range(0, max(1, len(items)), _MAX_REPLICAS_PER_DATAGRAM)
    ]


def _encode(loads: LoadByReplica) -> Any:
    """Return the message for loads, with one column for each field.

    Tokens come from callers, and their sum may be larger than a message carries.
    """
    return UnderWayNews(
        replicas=list(loads),
        unread=[_to_int32(item.unprefilled) for item in loads.values()],
        held=[_to_int32(item.resident) for item in loads.values()],
        requests=[_to_int32(item.requests) for item in loads.values()],
    )


def _to_int32(number: int) -> int:
    return max(0, min(number, MAX_INT32))


def _decode(message: Any) -> dict[int, InFlightLoad]:
    counts = zip(message.unread, message.held, message.requests, strict=False)
    items = [InFlightLoad(*(max(0, number) for number in item)) for item in counts]
    return dict(zip(message.replicas, items, strict=False))
