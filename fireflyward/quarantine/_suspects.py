"""Which requests end the replicas that run them, and what becomes of these."""

from collections import OrderedDict
from collections.abc import Iterable

from ._messages import Free, Held, OnTrial, SuspectRow, Verdict

# A request under which this many replicas ended is sent on no more. Two ends can
# be chance for whatever is sent again when its first replica ends; the users allow
# three and, where the news of them lags, three sends more.
MAX_CRASHES = 3
# From this many on the table keeps them, so that nodes that are cut off from each
# other, and nodes that start anew, do not each count from nothing.
_WRITTEN_FROM = 2
# Sends that may tell a suspect from what merely ran beside it. With the one or two that
# are on their way while the news of the third end spreads they stay within three.
_MOST_TRIALS = 2
# How long one is held before it may be tried again, doubled by each further trial.
# Replicas are mended by people, whom an hour finds; each trial may cost one more.
_HOLD_MS = 3_600_000
_MOST_DOUBLINGS = 4
# What was under way at fewer ends and is not asked again is of no interest any more.
_FORGET_MS = 3_600_000
# The longest hold is sixteen hours: one that still comes has had its trial by then.
_FORGET_WRITTEN_MS = 24 * 3_600_000
# A replica's end cuts what it runs at once, some hundred requests; this is a hundred
# such ends, and some 3 MB.
_MOST_SUSPECTS = 10_000
# Ends that are kept of one; a row of the table stays small.
_KEPT_ENDS = 16


class _Suspect:
    __slots__ = ("cleared", "ends", "held_ms", "seen_ms", "trials", "written")

    def __init__(self, now_ms: int) -> None:
        self.ends: set[int] = set()
        self.cleared: set[int] = set()
        self.written: frozenset[int] = frozenset()
        self.trials = 0
        self.seen_ms = now_ms
        self.held_ms = now_ms


class Suspects:
    """Knows under which requests replicas ended; no I/O.

    All that was under way at an end is equally suspect. What comes again and is
    under way at the next end too stands out, and after the third it is held. If
    something else was under way at the same ends, one of the two merely ran beside
    the other, and nothing but a trial tells which: a suspect is sent once, with no
    other on trial, and an answer clears it for good. Without trials, whoever runs
    beside such a request three times would be refused with it; without a limit on
    them it would go on to end replicas.

    >>> suspects = Suspects()
    >>> for start in (1, 2, 3):
    ...     suspects.on_ends(0, "a", [start])
    >>> suspects.verdict(1_000, "a")
    Held(detail='3 replicas ended under it', retry_after_ms=3599000)
    """

    __slots__ = ("_by_fingerprint", "_past_limit")

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._past_limit: set[str] = set()

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    @property
    def held(self) -> int:
        """Return how many requests have too many ends to be sent freely."""
        return len(self._past_limit)

    def crashes_of(self, fingerprint: str) -> frozenset[int]:
        """Return the starts of replicas that ended under a request."""
        suspect = self._by_fingerprint.get(fingerprint)
        return frozenset(suspect.ends) if suspect is not None else frozenset()

    def verdict(self, now_ms: int, fingerprint: str) -> Verdict:
        """Say whether a request may be sent to a replica now."""
        if fingerprint not in self._past_limit:
            return Free()
        suspect = self._by_fingerprint[fingerprint]
        hold_ms = _HOLD_MS << min(suspect.trials, _MOST_DOUBLINGS)
        left_ms = suspect.held_ms + hold_ms - now_ms
        if left_ms <= 0:
            return OnTrial()
        if suspect.trials < _MOST_TRIALS and not self._stands_out(suspect):
            return OnTrial()
        return Held(f"{len(suspect.ends)} replicas ended under it", left_ms)

    def on_ends(self, now_ms: int, fingerprint: str, starts: Iterable[int]) -> None:
        """Take starts of replicas that ended while a request was under way there."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._by_fingerprint[fingerprint] = _Suspect(now_ms)
        new = set(starts) - suspect.ends - suspect.cleared
        if not new or len(suspect.ends) >= _KEPT_ENDS:
            return
        suspect.ends |= new
        suspect.seen_ms = now_ms
        self._by_fingerprint.move_to_end(fingerprint)
        if len(suspect.ends) >= MAX_CRASHES:
            suspect.held_ms = now_ms
            self._past_limit.add(fingerprint)

    def on_row(self, now_ms: int, fingerprint: str, row: SuspectRow) -> None:
        """Take what the table says of a suspect."""
        self.on_ends(now_ms, fingerprint, row.ends)
        suspect = self._by_fingerprint[fingerprint]
        suspect.written = frozenset(row.ends)
        if row.trials > suspect.trials:
            suspect.held_ms = now_ms
        suspect.trials = row.trials

    def row_of(self, fingerprint: str, *, trials: int = 0) -> SuspectRow:
        """Return the row of a suspect, with so many ``trials`` more."""
        suspect = self._by_fingerprint[fingerprint]
        trials = max(0, suspect.trials + trials)
        return SuspectRow(tuple(sorted(suspect.ends)), trials)

    def needs_writing(self, fingerprint: str) -> bool:
        """Tell whether the table lacks what is known of a suspect."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None or len(suspect.ends) < _WRITTEN_FROM:
            return False
        return not suspect.ends <= suspect.written

    def on_row_lost(self, fingerprint: str) -> None:
        """Note that the table has not what it had of a suspect."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.written = frozenset()

    def clear(self, fingerprint: str, starts: Iterable[int] = ()) -> frozenset[int]:
        """Forgive a request its ends, since a replica ran it to a whole answer.

        Returns the ends that were forgiven, for others to forgive too. News of them
        that comes later changes nothing.
        """
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            return frozenset()
        forgiven = frozenset(suspect.ends | set(starts))
        suspect.cleared |= forgiven
        suspect.ends -= suspect.cleared
        suspect.written = frozenset()
        suspect.trials = 0
        self._past_limit.discard(fingerprint)
        return forgiven

    def forget(self, now_ms: int) -> list[str]:
        """Drop what had no new end for long; return those that the table has too."""
        old = [
            name
            for name, suspect in self._by_fingerprint.items()
            if now_ms - suspect.seen_ms
            > (_FORGET_WRITTEN_MS if suspect.written else _FORGET_MS)
        ]
        written = [name for name in old if self._by_fingerprint[name].written]
        for name in old:
            self._drop(name)
        return written

    def _stands_out(self, suspect: _Suspect) -> bool:
        """Tell whether nothing else accounts for three of its ends."""
        unexplained = set(suspect.ends)
        for name in self._past_limit:
            other = self._by_fingerprint[name]
            if other is not suspect and len(other.ends) >= len(suspect.ends):
                unexplained -= other.ends
        return len(unexplained) >= MAX_CRASHES

    def _make_room(self) -> None:
        """Drop whatever had no new end for longest, if there are too many."""
        while len(self._by_fingerprint) >= _MOST_SUSPECTS:
            self._drop(next(iter(self._by_fingerprint)))

    def _drop(self, fingerprint: str) -> None:
        self._by_fingerprint.pop(fingerprint, None)
        self._past_limit.discard(fingerprint)
