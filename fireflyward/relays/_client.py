"""Opens connections to replicas through other nodes."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from fireflyward.aggregators import Member
from fireflyward.clock import Clock
from fireflyward.http1 import HttpConnection, NotConnected
from fireflyward.peers import CallFailed, OpenedStream, PeerLink
from fireflyward.replicas import ReplicaState

from ._choice import RelayChoice, TunnelStatus
from ._relays_structs import OpenTunnel, TunnelReply
from ._tunnel import TunnelProtocol

log = logging.getLogger("fireflyward.relays")

OPEN_TUNNEL = "relays.open"
# The nodes that are asked for one connection. A node that cannot help says so at once.
_MAX_ASKED = 6
# If this many nodes cannot connect to a replica either, then it is down.
_MAX_FAILED_CONNECTS = 2
_CONNECT_MS = 200
# The round trip to the relay, beside the connection that it opens.
_ROUND_TRIP_MS = 300
# A call in which this process did not run for so long fails by itself.
_STANDSTILL_MS = 200


class RelayClient:
    """Asks other nodes, one after the other, to connect this node to a replica."""

    def __init__(
        self,
        *,
        clock: Clock,
        failure_domain: str,
        members: Callable[[int], Sequence[Member]],
        seed: int | None = None,
        lost_ms: Callable[[int], int] = lambda since_ms: 0,
    ) -> None:
        """``members`` returns the nodes that may be asked at a time.

        ``lost_ms`` returns for how long this process did not run since a time.
        """
        self._lost_ms = lost_ms
        self._clock = clock
        self._members = members
        self._choice = RelayChoice(failure_domain, seed=seed)
        self._link: PeerLink | None = None
        self.answers: Counter[TunnelStatus] = Counter()
        self.open_tunnels = 0

    def use(self, link: PeerLink) -> None:
        """Open tunnels over a link from now on."""
        self._link = link

    async def open(
        self, replica: ReplicaState, *, limit_ms: float
    ) -> HttpConnection | NotConnected:
        """Return a new connection to a replica through another node."""
        if self._link is None:
            return NotConnected("no link to other nodes")
        end_ms = self._clock.now_ms() + limit_ms
        tried: set[str] = set()
        failures: list[TunnelStatus] = []
        members = self._members(self._clock.now_ms())
        self._choice.forget_absent({member.name for member in members})
        while len(tried) < _MAX_ASKED and len(failures) < _MAX_FAILED_CONNECTS:
            now_ms = self._clock.now_ms()
            relay = self._choice.choose(
                now_ms, members, tried, replica=replica.incarnation_id
            )
            if relay is None or end_ms - now_ms < 1:
                break
            tried.add(relay.name)
            result = await self._ask(relay, replica, end_ms - now_ms)
            if isinstance(result, HttpConnection):
                return result
            if result in (TunnelStatus.REFUSED, TunnelStatus.SILENT):
                failures.append(result)
        is_refused = bool(failures) and set(failures) == {TunnelStatus.REFUSED}
        detail = f"none of {len(tried)} nodes connects to {replica.entry.address}"
        return NotConnected(detail, is_refused)

    async def _ask(
        self, relay: Member, replica: ReplicaState, limit_ms: float
    ) -> HttpConnection | TunnelStatus:
        connect_ms = min(_CONNECT_MS, limit_ms)
        sent_ms = self._clock.now_ms()
        request = OpenTunnel(replica=replica.incarnation_id, connect_ms=int(connect_ms))
        opened = await self._link.open_stream(
            relay.address,
            OPEN_TUNNEL,
            request,
            TunnelReply,
            timeout_s=min(limit_ms, connect_ms + _ROUND_TRIP_MS) / 1_000,
        )
        if isinstance(opened, CallFailed):
            status = TunnelStatus.NO_ANSWER
        else:
            status = _decode_status(opened.reply.status)
        self.answers[status] += 1
        if not self._is_own_fault(opened, sent_ms):
            self._choice.on_status(
                self._clock.now_ms(), relay.name, status, replica=replica.incarnation_id
            )
        if status is TunnelStatus.OPENED:
            return self._connect(relay, replica, opened.transport)
        if not isinstance(opened, CallFailed):
            opened.transport.close()
        return status

    def _is_own_fault(self, opened: OpenedStream | CallFailed, sent_ms: int) -> bool:
        """Return whether a call failed because this process did not run."""
        if not isinstance(opened, CallFailed) or opened.is_refused:
            return False
        return self._lost_ms(sent_ms) >= _STANDSTILL_MS

    def _connect(
        self, relay: Member, replica: ReplicaState, transport: asyncio.Transport
    ) -> HttpConnection:
        def on_end(is_relay_lost: bool) -> None:
            self.open_tunnels -= 1
            self._choice.on_closed(relay.name)
            if is_relay_lost:
                log.info("relays: the connection to %s broke", relay.name)
                self._choice.on_lost(relay.name)

        connection = HttpConnection(replica.entry.address, relay=relay.name)
        protocol = TunnelProtocol(connection, on_end)
        self.open_tunnels += 1
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        if transport.is_closing():
            protocol.connection_lost(None)
        return connection


def _decode_status(value: int) -> TunnelStatus:
    """Return the status that a reply names; a newer node may send an unknown one."""
    try:
        return TunnelStatus(value)
    except ValueError:
        return TunnelStatus.NO_ANSWER
