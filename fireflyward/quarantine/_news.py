"""What nodes tell each other of requests under which replicas ended."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import Address, PeerLink

from ._quarantine_structs import ClearNews, EndNews
from ._suspects import Suspects

_END, _CLEAR = "replica ended", "request cleared"
# A fingerprint takes 18 bytes; a datagram holds 1,400.
_MOST_IN_DATAGRAM = 60
# News of an end is told again: with 3% of the datagrams lost, one in 37,000 nodes
# hears none of three. Whoever missed them still reads the table.
_TOLD_AGAIN_MS = (300, 1_500)


class SuspectNews:
    """Sends and takes word of ends, and of requests that proved harmless."""

    def __init__(
        self,
        suspects: Suspects,
        *,
        clock: Clock,
        peer_addresses: Callable[[], list[Address]],
    ) -> None:
        self._suspects = suspects
        self._clock = clock
        self._peer_addresses = peer_addresses
        self._link: PeerLink | None = None

    def use(self, link: PeerLink) -> None:
        """Speak over a link from now on."""
        self._link = link
        link.register(_END, EndNews, self._on_end)
        link.register(_CLEAR, ClearNews, self._on_clear)

    def ended(self, start: int, fingerprints: Sequence[str]) -> None:
        """Tell everyone what was under way here where a replica ended."""
        for first in range(0, len(fingerprints), _MOST_IN_DATAGRAM):
            part = list(fingerprints[first : first + _MOST_IN_DATAGRAM])
            self._tell(_END, EndNews(start=start, fingerprints=part))

    def cleared(self, fingerprint: str, starts: Iterable[int]) -> None:
        """Tell everyone that a request did no harm, and which ends it is forgiven."""
        news = ClearNews(fingerprint=fingerprint, starts=sorted(starts))
        self._tell(_CLEAR, news)

    def _tell(self, kind: str, news: Any) -> None:
        self._send(kind, news)
        for later_ms in _TOLD_AGAIN_MS:
            self._clock.call_later_ms(later_ms, lambda: self._send(kind, news))

    def _send(self, kind: str, news: Any) -> None:
        if self._link is not None:
            self._link.send_all(self._peer_addresses(), kind, news)

    async def _on_end(self, sender: str, news: Any) -> None:
        now_ms = self._clock.now_ms()
        for fingerprint in news.fingerprints:
            self._suspects.on_ends(now_ms, fingerprint, [news.start])

    async def _on_clear(self, sender: str, news: Any) -> None:
        self._suspects.clear(news.fingerprint, news.starts)
