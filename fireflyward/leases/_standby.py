"""Decides when a node that does not contend for a lease polls it nevertheless."""

from collections.abc import Callable

# How long a node that does not contend goes without an announcement before it polls.
# It gets one with every second renewal, so one of them may be lost.
_SILENCE_SHARE = 1.5
# Contenders acquire a released lease at once. This leaves them the time to announce it.
_RELEASE_SHARE = 0.3
# The time over which the polls of all nodes are spread, by their places for the lease.
_SPREAD_SHARE = 0.7
# A lease that was not released can be acquired if its row has not changed for slightly
# more than its length.
_SECOND_POLL_SHARE = 1.1
_UNANNOUNCED_POLL_INTERVAL_MS = 60_000


class Standby:
    """Lets a node take over a lease if all its contenders have gone; no I/O.

    The contenders are the first nodes of a ranking, and every node derives the ranking
    from a list that may contain nodes that have gone. So a node further down counts on
    the contenders only as long as it hears of the lease. ``place`` returns how far down
    this node is, as a share of all nodes. The one that is highest polls first, acquires
    the lease and announces it, before most of the others have polled.

    Without announcements a node polls once a minute, however long the lease is.

    >>> standby = Standby.with_announcements(3_000, place=lambda: 0.5)
    >>> standby.is_due(0), standby.is_due(5_549), standby.is_due(5_550)
    (False, False, True)
    >>> standby.on_announcement(6_000)
    >>> standby.on_release(7_000)
    >>> standby.is_due(8_949), standby.is_due(8_950)
    (False, True)
    """

    __slots__ = (
        "_due_ms",
        "_place",
        "_release_ms",
        "_second_poll_ms",
        "_silence_ms",
        "_spread_ms",
    )

    def __init__(
        self,
        *,
        silence_ms: float,
        release_ms: float,
        second_poll_ms: float,
        spread_ms: float = 0,
        place: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._silence_ms = silence_ms
        self._release_ms = release_ms
        self._second_poll_ms = second_poll_ms
        self._spread_ms = spread_ms
        self._place = place
        self._due_ms: float | None = None

    @classmethod
    def with_announcements(
        cls, lease_ms: int, *, place: Callable[[], float]
    ) -> "Standby":
        """Return the standby for a lease that its holder announces to all nodes."""
        return cls(
            silence_ms=lease_ms * _SILENCE_SHARE,
            release_ms=lease_ms * _RELEASE_SHARE,
            second_poll_ms=lease_ms * _SECOND_POLL_SHARE,
            spread_ms=lease_ms * _SPREAD_SHARE,
            place=place,
        )

    @classmethod
    def without_announcements(cls) -> "Standby":
        """Return the standby for a lease that nobody announces."""
        interval_ms = _UNANNOUNCED_POLL_INTERVAL_MS
        return cls(
            silence_ms=interval_ms, release_ms=interval_ms, second_poll_ms=interval_ms
        )

    def is_due(self, now_ms: int) -> bool:
        """Return whether to poll now; the first call counts as an announcement."""
        if self._due_ms is None:
            self.on_announcement(now_ms)
        return now_ms >= self._due_ms

    def on_announcement(self, now_ms: int) -> None:
        """Record that the lease has a holder."""
        self._due_ms = now_ms + self._silence_ms + self._offset_ms

    def on_release(self, now_ms: int) -> None:
        """Record that the lease is free."""
        self._due_ms = now_ms + self._release_ms + self._offset_ms

    def on_poll(self, now_ms: int) -> None:
        """Record that this node polls now."""
        self._due_ms = now_ms + self._second_poll_ms

    @property
    def _offset_ms(self) -> float:
        return self._spread_ms * self._place()
