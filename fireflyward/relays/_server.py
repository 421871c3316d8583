"""Connects other nodes to replicas that they do not reach themselves."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from fireflyward.clock import Clock
from fireflyward.observe import PER_REQUEST
from fireflyward.peers import PeerLink, StreamReply
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._choice import TunnelStatus
from ._client import OPEN_TUNNEL
from ._paths import Path, ReplicaPaths
from ._pipe import Pipe, PipeEnd
from ._relays_structs import OpenTunnel, TunnelReply

log = logging.getLogger("fireflyward.relays")

# A connection takes some ms, and TCP resends a lost packet after 200 ms.
_MAX_CONNECT_MS = 350
_DRAIN_POLL_MS = 50
# A replica to which no connection could be opened is probably silent for this long.
_SILENT_MS = 500


class RelayServer:
    """Opens connections to replicas for other nodes, and copies the bytes.

    Only listed replicas are connected to, at the address in this node's own list, and
    only directly: a node whose own link to the replica is cut answers ``NO_PATH``, so
    tunnels have one hop and no loops. ``max_tunnels`` bounds memory and descriptors.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        paths: ReplicaPaths,
        max_tunnels: int,
        on_silent: Callable[[ReplicaState], None],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._paths = paths
        self._max_tunnels = max_tunnels
        self._on_silent = on_silent
        self._pipes: set[Pipe] = set()
        self._is_stopping = False
        self._silent_until_ms_by_id: dict[int, int] = {}
        self.answers: Counter[TunnelStatus] = Counter()

    @property
    def tunnels(self) -> int:
        """Return how many tunnels lead through this node."""
        return len(self._pipes)

    def use(self, link: PeerLink) -> None:
        """Accept tunnels over a link from now on."""
        link.register(OPEN_TUNNEL, OpenTunnel, self._on_open)

    def begin_stop(self) -> None:
        """Accept no more tunnels, and ask the nodes to end the open ones."""
        self._is_stopping = True
        for pipe in self._pipes:
            pipe.announce_closing()

    async def drain(self, limit_ms: float) -> None:
        """Wait until the nodes have closed their tunnels; break those that remain."""
        end_ms = self._clock.now_ms() + limit_ms
        while self._pipes and self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        for pipe in tuple(self._pipes):
            pipe.stop(PipeEnd.STOPPED)

    async def _on_open(self, sender: str, message: OpenTunnel) -> StreamReply:
        replica = self._directory.find_incarnation(message.replica)
        status = self._check(replica)
        pipe = None
        if status is TunnelStatus.OPENED:
            pipe = self._add_pipe(sender, replica)
            status = await self._connect(pipe, replica, message.connect_ms)
        self.answers[status] += 1
        if status is not TunnelStatus.OPENED:
            return StreamReply(TunnelReply(status=status))
        return StreamReply(
            TunnelReply(status=status),
            pipe.take_over,
            lambda: pipe.stop(PipeEnd.ABANDONED),
        )

    def _check(self, replica: ReplicaState | None) -> TunnelStatus:
        """Return ``OPENED`` if this node may connect to a replica, or why not."""
        if self._is_stopping:
            return TunnelStatus.STOPPING
        if replica is None or replica.is_leaving:
            return TunnelStatus.UNKNOWN
        if self._paths.path_to(replica) is not Path.DIRECT:
            is_isolated = not self._paths.direct_share()
            return TunnelStatus.ISOLATED if is_isolated else TunnelStatus.NO_PATH
        until_ms = self._silent_until_ms_by_id.get(replica.incarnation_id, 0)
        if self._clock.now_ms() < until_ms:
            return TunnelStatus.SILENT
        if len(self._pipes) >= self._max_tunnels:
            return TunnelStatus.BUSY
        return TunnelStatus.OPENED

    def _add_pipe(self, sender: str, replica: ReplicaState) -> Pipe:
        started_ms = self._clock.now_ms()

        def on_end(pipe: Pipe) -> None:
            self._pipes.discard(pipe)
            fields = {
                "node": sender,
                "replica": replica.entry.incarnation,
                "took_ms": self._clock.now_ms() - started_ms,
                "bytes_to_replica": pipe.bytes_to_replica,
                "bytes_from_replica": pipe.bytes_from_replica,
            }
            log.info(
                "relays: tunnel ended: %s",
                pipe.end,
                extra={"fields": fields, **PER_REQUEST},
            )

        pipe = Pipe(on_end)
        self._pipes.add(pipe)
        return pipe

    def _note_silent(self, replica: ReplicaState) -> None:
        """Answer for a silent replica at once for a while, without a connection."""
        self._on_silent(replica)
        if len(self._silent_until_ms_by_id) > len(self._directory):
            self._silent_until_ms_by_id.clear()
        until_ms = self._clock.now_ms() + _SILENT_MS
        self._silent_until_ms_by_id[replica.incarnation_id] = until_ms

    async def _connect(
        self, pipe: Pipe, replica: ReplicaState, connect_ms: int
    ) -> TunnelStatus:
        host, _, port = replica.entry.address.rpartition(":")
        loop = asyncio.get_running_loop()
        limit_ms = min(max(0, connect_ms), _MAX_CONNECT_MS)
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                await loop.create_connection(pipe.replica_protocol, host, int(port))
        except TimeoutError:
            self._note_silent(replica)
            status = TunnelStatus.SILENT
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            status = TunnelStatus.REFUSED if is_refused else TunnelStatus.SILENT
        except (ValueError, OverflowError) as error:
            log.warning("relays: no connection to %r: %s", replica, error)
            status = TunnelStatus.SILENT
        except BaseException:
            pipe.stop(PipeEnd.ABANDONED)
            raise
        else:
            return TunnelStatus.OPENED
        pipe.stop(PipeEnd.REPLICA_LOST)
        return status
