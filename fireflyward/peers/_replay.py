"""Tells frames that are new from frames that somebody sends again."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

_WINDOW = 1_024
_MASK = (1 << _WINDOW) - 1
_MAX_SENDERS = 4_096


class Freshness(enum.Enum):
    """What a frame's incarnation and sequence say of it."""

    NEW = "new"
    REPEATED = "repeated"
    BEHIND = "behind"


@dataclass(slots=True)
class _Window:
    incarnation: int
    highest: int
    seen: int


class ReplayGuard:
    """Remembers the last sequence numbers of each sender.

    A tag proves that a peer once made a frame, not that it sends it now: recorded
    frames would be obeyed again. Within an incarnation each sequence number is
    taken once, in any order within a window, since datagrams overtake each other.
    Frames of an earlier incarnation are ``BEHIND``: either old, or of a node that
    restarted after its wall clock was set back and has to be told.

    >>> guard = ReplayGuard()
    >>> [guard.check("entry-1", 7, number).name for number in (1, 3, 2, 3)]
    ['NEW', 'NEW', 'NEW', 'REPEATED']
    """

    __slots__ = ("_window_by_sender",)

    def __init__(self) -> None:
        self._window_by_sender: OrderedDict[str, _Window] = OrderedDict()

    def check(self, sender: str, incarnation: int, sequence: int) -> Freshness:
        """Judge a frame, and remember it if it is new."""
        window = self._window_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._begin(sender, incarnation, sequence)
            return Freshness.NEW
        self._window_by_sender.move_to_end(sender)
        if incarnation < window.incarnation:
            return Freshness.BEHIND
        return self._check_sequence(window, sequence)

    def known_incarnation(self, sender: str) -> int:
        """Return the highest incarnation heard of a sender, 0 if none was."""
        window = self._window_by_sender.get(sender)
        return window.incarnation if window else 0

    def _begin(self, sender: str, incarnation: int, sequence: int) -> None:
        self._window_by_sender[sender] = _Window(incarnation, sequence, 1)
        self._window_by_sender.move_to_end(sender)
        if len(self._window_by_sender) > _MAX_SENDERS:
            self._window_by_sender.popitem(last=False)

    def _check_sequence(self, window: _Window, sequence: int) -> Freshness:
        ahead = sequence - window.highest
        if ahead > 0:
            window.seen = ((window.seen << min(ahead, _WINDOW)) | 1) & _MASK
            window.highest = sequence
            return Freshness.NEW
        bit = 1 << -ahead
        if -ahead >= _WINDOW or window.seen & bit:
            return Freshness.REPEATED
        window.seen |= bit
        return Freshness.NEW
