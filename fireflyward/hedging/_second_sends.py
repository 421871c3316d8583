"""Decides whether an overdue request is sent to a second replica."""

import enum
from collections import deque

# Overdue sends are counted over this time. About one send in twenty is overdue when no
# replica is slow; above this share many replicas are slow, and further sends would add
# to their load.
_WINDOW_MS = 5_000
_MAX_OVERDUE_SHARE = 0.2
# Weight of one second send in the moving average of those that won, and the average
# below which they do not help. One in some is still made, to notice when they do.
_WON_WEIGHT = 0.05
_INITIAL_WON_SHARE = 0.5
_MIN_WON_SHARE = 0.1
_TRIED_OF = 10


class SecondSendReason(enum.StrEnum):
    """Why a second send is due."""

    SLOW = "slow"
    UNRESPONSIVE = "unresponsive"


class Refusal(enum.StrEnum):
    """Why a second send that was due is not made."""

    MANY_OVERDUE = "many_overdue"
    MANY_SILENT = "many_silent"
    RARELY_WIN = "rarely_win"
    NO_BUDGET = "no_budget"
    NO_REPLICA = "no_replica"
    NO_ROOM = "no_room"
    NO_SLOT = "no_slot"
    ON_TRIAL = "on_trial"


class _Recent:
    """Sends and overdue sends of one service, and how often second sends won."""

    __slots__ = ("overdue_ms", "refused", "sent_ms", "won_share")

    def __init__(self) -> None:
        self.sent_ms: deque[int] = deque()
        self.overdue_ms: deque[int] = deque()
        self.won_share = _INITIAL_WON_SHARE
        self.refused = 0


class SecondSends:
    """Limits second sends to times when few replicas are slow; no I/O.

    In an overload all replicas are slow and every response is overdue. Second sends
    would double the load then, and rarely be faster.

    >>> sends = SecondSends()
    >>> for _ in range(10):
    ...     sends.on_sent(0, "s")
    >>> [sends.check(0, "s", SecondSendReason.SLOW) for _ in range(3)]
    [None, None, <Refusal.MANY_OVERDUE: 'many_overdue'>]
    """

    __slots__ = ("_recent_by_service", "cancelled", "made", "won")

    def __init__(self) -> None:
        self._recent_by_service: dict[str, _Recent] = {}
        self.made = 0
        self.won = 0
        self.cancelled = 0

    def on_sent(self, now_ms: int, service: str) -> None:
        """Count the first send of a request that may have a second one."""
        self._current(now_ms, service).sent_ms.append(now_ms)

    def check(
        self,
        now_ms: int,
        service: str,
        reason: SecondSendReason,
        *,
        few_silent: bool = True,
    ) -> Refusal | None:
        """Return why a second send that is due now is not made, None if it may be."""
        if reason is SecondSendReason.UNRESPONSIVE:
            return None if few_silent else Refusal.MANY_SILENT
        recent = self._current(now_ms, service)
        recent.overdue_ms.append(now_ms)
        limit = max(1.0, _MAX_OVERDUE_SHARE * len(recent.sent_ms))
        if len(recent.overdue_ms) > limit:
            return Refusal.MANY_OVERDUE
        if recent.won_share < _MIN_WON_SHARE:
            recent.refused += 1
            if recent.refused % _TRIED_OF:
                return Refusal.RARELY_WIN
        return None

    def on_made(self) -> None:
        """Count a second send."""
        self.made += 1

    def on_finished(
        self,
        now_ms: int,
        service: str,
        *,
        second_won: bool,
        was_cancelled: bool = True,
    ) -> None:
        """Record which send won, and whether the other one was still open."""
        recent = self._current(now_ms, service)
        recent.won_share += _WON_WEIGHT * (second_won - recent.won_share)
        self.won += second_won
        self.cancelled += was_cancelled

    def _current(self, now_ms: int, service: str) -> _Recent:
        recent = self._recent_by_service.setdefault(service, _Recent())
        for times_ms in (recent.sent_ms, recent.overdue_ms):
            while times_ms and now_ms - times_ms[0] >= _WINDOW_MS:
                times_ms.popleft()
        return recent
