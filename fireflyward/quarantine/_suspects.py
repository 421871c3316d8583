"""Detection of requests that crash replicas, and the decision whether to send them."""

from collections import OrderedDict
from collections.abc import Iterable

from ._messages import Free, Held, OnTrial, SuspectRow, Verdict

# A request is held after this many replicas crashed while it was in flight. Two crashes
# can be chance for a request that is sent again after the first one. The users accept
# three crashes, and three further sends where the announcement of them is late.
MAX_CRASHES = 3
# With at least this many crashes a suspect is written to the table, so that nodes that
# cannot reach each other and restarted nodes do not start counting at zero.
_MIN_CRASHES_WRITTEN = 2
# Trials that may show whether a suspect or a request that ran at the same time causes
# the crashes. Together with the one or two sends in flight while the third crash is
# announced they stay within the three further sends.
_MAX_TRIALS = 2
# How long a suspect is held before its next trial, doubled by each further trial. An
# hour is enough to reach the people who repair replicas; each trial may crash another
# one.
_HOLD_MS = 3_600_000
_MAX_DOUBLINGS = 4
# A suspect that was not written is dropped when it has had no crash for this long.
_EXPIRY_MS = 3_600_000
# The longest hold is sixteen hours: a request that callers still repeat has had its
# next trial before this time.
_WRITTEN_EXPIRY_MS = 24 * 3_600_000
# A crash cuts all requests of the replica, some hundred; this is enough for a hundred
# crashes and takes some 3 MB.
_MAX_SUSPECTS = 10_000
# Crashes that are kept for one suspect, which limits the size of its row in the table.
_MAX_KEPT_CRASHES = 16


class _Suspect:
    __slots__ = ("cleared", "ends", "held_ms", "last_crash_ms", "trials", "written")

    def __init__(self, now_ms: int) -> None:
        self.ends: set[int] = set()
        self.cleared: set[int] = set()
        self.written: frozenset[int] = frozenset()
        self.trials = 0
        self.last_crash_ms = now_ms
        self.held_ms = now_ms


class Suspects:
    """Records the crashes at which requests were in flight; no I/O.

    All requests in flight at a crash are equally suspect. A request that is sent again
    and is also in flight at further crashes is held after the third. If another request
    was in flight at the same crashes, only one of the two is the cause, and only a
    trial shows which: a suspect is sent once, while no other one is on trial, and an
    answer clears it of these crashes. Without trials, a harmless request that ran at
    the same time as such a request three times would be rejected with it. Without a
    limit on trials, the request would go on to crash replicas.

    >>> suspects = Suspects()
    >>> for incarnation_id in (1, 2, 3):
    ...     suspects.on_crashes(0, "a", [incarnation_id])
    >>> suspects.verdict(1_000, "a")
    Held(detail='3 replicas ended under it', retry_after_ms=3599000)
    """

    __slots__ = ("_by_fingerprint", "_over_limit")

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._over_limit: set[str] = set()

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    @property
    def held(self) -> int:
        """Return how many requests have too many crashes to be sent freely."""
        return len(self._over_limit)

    def crashes_of(self, fingerprint: str) -> frozenset[int]:
        """Return the incarnation ids of replicas that crashed during a request."""
        suspect = self._by_fingerprint.get(fingerprint)
        return frozenset(suspect.ends) if suspect is not None else frozenset()

    def verdict(self, now_ms: int, fingerprint: str) -> Verdict:
        """Decide whether a request may be sent to a replica now."""
        if fingerprint not in self._over_limit:
            return Free()
        suspect = self._by_fingerprint[fingerprint]
        hold_ms = _HOLD_MS << min(suspect.trials, _MAX_DOUBLINGS)
        left_ms = suspect.held_ms + hold_ms - now_ms
        if left_ms <= 0:
            return OnTrial()
        if suspect.trials < _MAX_TRIALS and not self._is_distinguished(suspect):
            return OnTrial()
        return Held(f"{len(suspect.ends)} replicas ended under it", left_ms)

    def on_crashes(
        self, now_ms: int, fingerprint: str, incarnation_ids: Iterable[int]
    ) -> None:
        """Record replicas that crashed while a request was in flight there."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._by_fingerprint[fingerprint] = _Suspect(now_ms)
        new = set(incarnation_ids) - suspect.ends - suspect.cleared
        if not new or len(suspect.ends) >= _MAX_KEPT_CRASHES:
            return
        suspect.ends |= new
        suspect.last_crash_ms = now_ms
        self._by_fingerprint.move_to_end(fingerprint)
        if len(suspect.ends) >= MAX_CRASHES:
            suspect.held_ms = now_ms
            self._over_limit.add(fingerprint)

    def on_row(self, now_ms: int, fingerprint: str, row: SuspectRow) -> None:
        """Update a suspect from its row in the table."""
        self.on_crashes(now_ms, fingerprint, row.ends)
        suspect = self._by_fingerprint[fingerprint]
        suspect.written = frozenset(row.ends)
        if row.trials > suspect.trials:
            suspect.held_ms = now_ms
        suspect.trials = row.trials

    def row_of(self, fingerprint: str, *, trials: int = 0) -> SuspectRow:
        """Return the row of a suspect, with ``trials`` added to its trials."""
        suspect = self._by_fingerprint[fingerprint]
        trials = max(0, suspect.trials + trials)
        return SuspectRow(tuple(sorted(suspect.ends)), trials)

    def needs_write(self, fingerprint: str) -> bool:
        """Return whether the table lacks some crashes of a suspect."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None or len(suspect.ends) < _MIN_CRASHES_WRITTEN:
            return False
        return not suspect.ends <= suspect.written

    def on_row_lost(self, fingerprint: str) -> None:
        """Record that the table has lost the row of a suspect."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.written = frozenset()

    def clear(
        self, fingerprint: str, incarnation_ids: Iterable[int] = ()
    ) -> frozenset[int]:
        """Clear a request of its crashes, since a replica completed its answer.

        Returns these crashes, so that other nodes clear the request of them too.
        Announcements of them that arrive later change nothing.
        """
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            return frozenset()
        cleared_ids = frozenset(suspect.ends | set(incarnation_ids))
        suspect.cleared |= cleared_ids
        suspect.ends -= suspect.cleared
        suspect.written = frozenset()
        suspect.trials = 0
        self._over_limit.discard(fingerprint)
        return cleared_ids

    def forget(self, now_ms: int) -> list[str]:
        """Drop suspects without recent crashes; return those that have a row."""
        old = [
            name
            for name, suspect in self._by_fingerprint.items()
            if now_ms - suspect.last_crash_ms
            > (_WRITTEN_EXPIRY_MS if suspect.written else _EXPIRY_MS)
        ]
        written = [name for name in old if self._by_fingerprint[name].written]
        for name in old:
            self._drop(name)
        return written

    def _is_distinguished(self, suspect: _Suspect) -> bool:
        """Return whether no other suspect explains three of its crashes."""
        unexplained = set(suspect.ends)
        for name in self._over_limit:
            other = self._by_fingerprint[name]
            if other is not suspect and len(other.ends) >= len(suspect.ends):
                unexplained -= other.ends
        return len(unexplained) >= MAX_CRASHES

    def _make_room(self) -> None:
        """Drop the suspects whose last crash is oldest, if there are too many."""
        while len(self._by_fingerprint) >= _MAX_SUSPECTS:
            self._drop(next(iter(self._by_fingerprint)))

    def _drop(self, fingerprint: str) -> None:
        self._by_fingerprint.pop(fingerprint, None)
        self._over_limit.discard(fingerprint)
