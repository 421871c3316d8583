"""Announces to all nodes which replicas load weights or have loaded them."""

from collections.abc import Callable
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory

from ._weights_structs import LoadedNews, LoadingNews

_LOADING, _LOADED = "loading", "loaded"
# An incarnation id takes 4 bytes, and a datagram has room for 1,400 bytes.
_MAX_REPLICAS_PER_DATAGRAM = 250


class LoadAnnouncer:
    """Sends and receives announcements of replicas that load weights.

    Datagrams may be lost. A node that missed one gets the same state a second or two
    later, when the replica rejects its requests and from the list of replicas.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        peer_addresses: Callable[[], list[tuple[str, int]]],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._peer_addresses = peer_addresses
        self._link: PeerLink | None = None

    def use(self, link: PeerLink) -> None:
        """Send and receive over ``link`` from now on."""
        self._link = link
        link.register(_LOADING, LoadingNews, self._on_loading, expires=True)
        link.register(_LOADED, LoadedNews, self._on_loaded)

    async def announce_loading(
        self, replicas: list[int], model: str, version: int, for_ms: int
    ) -> None:
        """Announce to all nodes, this one included, which replicas are about to load.

        One datagram names many replicas: with a datagram for each, the announcements
        of thirty replicas to eighty nodes would delay the orders that follow by half a
        second on a link of 10 Mbit/s.
        """
        for first in range(0, len(replicas), _MAX_REPLICAS_PER_DATAGRAM):
            message = LoadingNews(
                replicas=replicas[first : first + _MAX_REPLICAS_PER_DATAGRAM],
                model=model,
                version=version,
                for_ms=for_ms,
            )
            self._broadcast(_LOADING, message)
            await self._on_loading("", message)

    async def announce_loaded(self, replica: int, model: str, version: int) -> None:
        """Announce to all nodes, this one included, that a replica has loaded."""
        message = LoadedNews(replica=replica, model=model, version=version)
        self._broadcast(_LOADED, message)
        await self._on_loaded("", message)

    def _broadcast(self, kind: str, message: Any) -> None:
        if self._link is not None:
            self._link.send_all(self._peer_addresses(), kind, message)

    async def _on_loading(self, sender: str, message: Any) -> None:
        for replica in message.replicas:
            state = self._directory.find_incarnation(replica)
            if (
                state is not None
                and state.entry.version_of(message.model) != message.version
            ):
                state.on_loading(self._clock.now_ms(), message.for_ms)

    async def _on_loaded(self, sender: str, message: Any) -> None:
        state = self._directory.find_incarnation(message.replica)
        if state is not None:
            state.on_loaded(message.model, message.version)
