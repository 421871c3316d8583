"""Messages between nodes about requests in flight when a replica crashed."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import Address, PeerLink

from ._quarantine_structs import ClearNews, EndNews
from ._suspects import Suspects

_CRASH, _CLEAR = "replica ended", "request cleared"
# A fingerprint takes 18 bytes; a datagram has room for 1,400.
_MAX_FINGERPRINTS_PER_DATAGRAM = 60
# The announcement of a crash is resent: with 3% of the datagrams lost, one in 37,000
# nodes receives none of three. Such a node still reads the table.
_RESEND_AFTER_MS = (300, 1_500)


class SuspectAnnouncer:
    """Announces crashes and requests that were cleared, and receives announcements."""

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
        """Send and receive over a link from now on."""
        self._link = link
        link.register(_CRASH, EndNews, self._on_crash)
        link.register(_CLEAR, ClearNews, self._on_clear)

    def announce_crash(self, incarnation_id: int, fingerprints: Sequence[str]) -> None:
        """Announce this node's requests in flight at a replica that crashed."""
        for first in range(0, len(fingerprints), _MAX_FINGERPRINTS_PER_DATAGRAM):
            part = list(fingerprints[first : first + _MAX_FINGERPRINTS_PER_DATAGRAM])
            self._announce(_CRASH, EndNews(start=incarnation_id, fingerprints=part))

    def announce_cleared(
        self, fingerprint: str, incarnation_ids: Iterable[int]
    ) -> None:
        """Announce that a request is harmless, and of which crashes it is cleared."""
        message = ClearNews(fingerprint=fingerprint, starts=sorted(incarnation_ids))
        self._announce(_CLEAR, message)

    def _announce(self, kind: str, message: Any) -> None:
        self._send(kind, message)
        for later_ms in _RESEND_AFTER_MS:
            self._clock.call_later_ms(later_ms, lambda: self._send(kind, message))

    def _send(self, kind: str, message: Any) -> None:
        if self._link is not None:
            self._link.send_all(self._peer_addresses(), kind, message)

    async def _on_crash(self, sender: str, message: Any) -> None:
        now_ms = self._clock.now_ms()
        for fingerprint in message.fingerprints:
            self._suspects.on_crashes(now_ms, fingerprint, [message.start])

    async def _on_clear(self, sender: str, message: Any) -> None:
        self._suspects.clear(message.fingerprint, message.starts)
