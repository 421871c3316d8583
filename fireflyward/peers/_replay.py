"""Detects frames that were received before and are replayed."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

_WINDOW_FRAMES = 1_024
_MASK = (1 << _WINDOW_FRAMES) - 1
_MAX_SENDERS = 4_096


class Freshness(enum.Enum):
    """Whether a frame is new, according to its incarnation and sequence number."""

    NEW = "new"
    REPEATED = "repeated"
    BEHIND = "behind"


@dataclass(slots=True)
class _Window:
    incarnation: int
    highest: int
    received_bits: int


class ReplayGuard:
    """Stores the last sequence numbers of each sender.

    The tag of a frame proves that a peer created it, not that the peer sends it
    now: without this check a recorded frame could be replayed. Within an
    incarnation each sequence number is accepted once. Datagrams may be reordered,
    so numbers are accepted in any order within a window. Frames of an earlier
    incarnation are ``BEHIND``: either they are old, or their sender restarted after
    its wall clock was set back and must be notified.

    >>> guard = ReplayGuard()
    >>> [guard.check("entry-1", 7, number).name for number in (1, 3, 2, 3)]
    ['NEW', 'NEW', 'NEW', 'REPEATED']
    """

    __slots__ = ("_window_by_sender",)

    def __init__(self) -> None:
        self._window_by_sender: OrderedDict[str, _Window] = OrderedDict()

    def check(self, sender: str, incarnation: int, sequence: int) -> Freshness:
        """Classify a frame, and record it if it is new."""
        window = self._window_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._start_window(sender, incarnation, sequence)
            return Freshness.NEW
        self._window_by_sender.move_to_end(sender)
        if incarnation < window.incarnation:
            return Freshness.BEHIND
        return self._check_sequence(window, sequence)

    def highest_incarnation(self, sender: str) -> int:
        """Return the highest incarnation received from a sender, or 0 if none."""
        window = self._window_by_sender.get(sender)
        return window.incarnation if window else 0

    def _start_window(self, sender: str, incarnation: int, sequence: int) -> None:
        self._window_by_sender[sender] = _Window(incarnation, sequence, 1)
        self._window_by_sender.move_to_end(sender)
        if len(self._window_by_sender) > _MAX_SENDERS:
            self._window_by_sender.popitem(last=False)

    def _check_sequence(self, window: _Window, sequence: int) -> Freshness:
        distance = sequence - window.highest
        if distance > 0:
            window.received_bits = (
                (window.received_bits << min(distance, _WINDOW_FRAMES)) | 1
            ) & _MASK
            window.highest = sequence
            return Freshness.NEW
        bit = 1 << -distance
        if -distance >= _WINDOW_FRAMES or window.received_bits & bit:
            return Freshness.REPEATED
        window.received_bits |= bit
        return Freshness.NEW
