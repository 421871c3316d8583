"""Responses to earlier requests that arrive where the next one is expected."""

import asyncio
from collections.abc import Callable

from fireflyward.attribution import CarriedRequests

from ._head import Head

# A replica sends a response again once. The copy is a rejection, or as large as a small
# answer, and arrives whole.
_MAX_SKIPPED = 2
_MAX_SKIPPED_BYTES = 65_536
_MAX_SKIP_MS = 1_000

NamedBy = Callable[[Head], str | None]


class LateResponses:
    """Decides which responses a connection skips, and bounds them.

    ``skipped`` is the number of those that preceded the response to the last request.
    """

    __slots__ = ("_carried", "_named_by", "_skipped_bytes", "_timer", "skipped")

    def __init__(self) -> None:
        self._carried = CarriedRequests()
        self._named_by: NamedBy | None = None
        self._skipped_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.skipped = 0

    def on_request(self, request_id: str | None, named_by: NamedBy | None) -> None:
        """Record a request that is about to be sent; see ``HttpConnection.send``."""
        self._carried.begin(request_id)
        self._named_by = named_by
        self.skipped = self._skipped_bytes = 0

    @property
    def is_skipping(self) -> bool:
        """Return whether the response that arrives now is skipped."""
        return self._timer is not None

    def may_skip(self, head: Head) -> bool:
        """Return whether a response belongs to an earlier request of the connection."""
        return (
            self._named_by is not None
            and self.skipped < _MAX_SKIPPED
            and self._carried.is_late(self._named_by(head))
        )

    def carried_id(self, head: Head) -> str | None:
        """Return the id that a response names, if the connection has carried it.

        Callers choose the ids, so one may read like a part of a response.
        """
        named_id = self._named_by(head) if self._named_by is not None else None
        return named_id if self._carried.has(named_id) else None

    def begin_skip(self, on_timeout: Callable[[], None]) -> None:
        """Skip the response whose header has arrived; it must end in time."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_MAX_SKIP_MS / 1_000, on_timeout)

    def on_body(self, size: int) -> bool:
        """Count bytes that are skipped; return whether they are few enough."""
        self._skipped_bytes += size
        return self._skipped_bytes <= _MAX_SKIPPED_BYTES

    def end_skip(self) -> None:
        """Count a response that was skipped to its end."""
        self.cancel_skip()
        self.skipped += 1

    def cancel_skip(self) -> None:
        """Skip no more, if a response was being skipped."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
