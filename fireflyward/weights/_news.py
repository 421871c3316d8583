"""What the node that orders loads tells the others."""

from collections.abc import Callable
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory

from ._weights_structs import LoadedNews, LoadingNews

_LOADING, _LOADED = "loading", "loaded"
# A replica's number takes 4 bytes; a datagram holds 1,400.
_MOST_IN_DATAGRAM = 250


class LoadNews:
    """Sends and takes word of replicas that load weights.

    Datagrams may be lost; a node that missed one learns it from the replica's
    refusals and from the list, a second or two later.
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
        """Speak over a link from now on."""
        self._link = link
        link.register(_LOADING, LoadingNews, self._on_loading)
        link.register(_LOADED, LoadedNews, self._on_loaded)

    async def loading(
        self, replicas: list[int], model: str, version: int, for_ms: int
    ) -> None:
        """Tell everyone, this node included, which replicas are about to load.

        One by one, the news of thirty replicas for eighty nodes would hold up the
        orders that follow it for half a second on a link of 10 Mbit/s.
        """
        for first in range(0, len(replicas), _MOST_IN_DATAGRAM):
            news = LoadingNews(
                replicas=replicas[first : first + _MOST_IN_DATAGRAM],
                model=model,
                version=version,
                for_ms=for_ms,
            )
            self._tell(_LOADING, news)
            await self._on_loading("", news)

    async def loaded(self, replica: int, model: str, version: int) -> None:
        """Tell everyone that a replica has loaded."""
        news = LoadedNews(replica=replica, model=model, version=version)
        self._tell(_LOADED, news)
        await self._on_loaded("", news)

    def _tell(self, kind: str, news: Any) -> None:
        if self._link is not None:
            self._link.send_all(self._peer_addresses(), kind, news)

    async def _on_loading(self, sender: str, news: Any) -> None:
        for replica in news.replicas:
            state = self._directory.find_incarnation(replica)
            if state is not None and state.entry.version_of(news.model) != news.version:
                state.on_loading(self._clock.now_ms(), news.for_ms)

    async def _on_loaded(self, sender: str, news: Any) -> None:
        state = self._directory.find_incarnation(news.replica)
        if state is not None:
            state.on_loaded(news.model, news.version)
