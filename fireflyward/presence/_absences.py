"""Finds listed nodes that have not answered for a long time."""

import math
from collections.abc import Collection
from dataclasses import dataclass

# Each node is asked this often. The questions are spread over the time, since the
# answers to all at once would be more than a node handles.
_ROUND_MS = 30_000
# A node that restarts or is cut off for a short time keeps its row.
_ABSENT_MS = 120_000
# A node that wrote its row again after it had ended runs, and is only cut off from the
# node that asks. Its row must not end every two minutes.
_RETURNED_ABSENT_MS = 3_600_000
# Datagrams may be lost, so a few of them without an answer are no proof.
_MIN_QUESTIONS = 4


@dataclass(slots=True)
class _Unanswered:
    """The questions to one node since its last answer."""

    first_ms: int
    count: int = 0


class Absences:
    """Decides whom to ask whether it runs, and which nodes are absent; no I/O.

    A node is absent if it has answered none of the questions of two minutes while
    another one did. Without any answer this node may be the one that is cut off.

    >>> absences = Absences()
    >>> for now_ms in range(0, 150_001, 30_000):
    ...     for name in absences.to_ask(now_ms, ["a", "b"]):
    ...         absences.on_asked(now_ms, name)
    ...     absences.on_answer(now_ms, "a")
    >>> absences.absent(150_000, ["a", "b"])
    ['b']
    """

    __slots__ = (
        "_asked_ms_by_name",
        "_ended",
        "_last_answer_ms",
        "_unanswered_by_name",
    )

    def __init__(self) -> None:
        self._last_answer_ms: int | None = None
        self._asked_ms_by_name: dict[str, int] = {}
        self._unanswered_by_name: dict[str, _Unanswered] = {}
        self._ended: set[str] = set()

    def reset(self) -> None:
        """Forget everything, as after a time in which nobody was asked."""
        self._last_answer_ms = None
        self._asked_ms_by_name.clear()
        self._unanswered_by_name.clear()
        self._ended.clear()

    def to_ask(
        self, now_ms: int, names: Collection[str], *, period_ms: int = _ROUND_MS
    ) -> list[str]:
        """Return the nodes to ask now, if this is called every ``period_ms``."""
        for name in self._asked_ms_by_name.keys() - set(names):
            self.forget(name)
        asked_ms = self._asked_ms_by_name
        due = [
            name
            for name in names
            if name not in asked_ms or now_ms - asked_ms[name] >= _ROUND_MS
        ]
        due.sort(key=lambda name: asked_ms.get(name, -1))
        return due[: math.ceil(len(names) * period_ms / _ROUND_MS)]

    def on_asked(self, now_ms: int, name: str) -> None:
        """Record that a node was asked."""
        self._asked_ms_by_name[name] = now_ms
        unanswered = self._unanswered_by_name.setdefault(name, _Unanswered(now_ms))
        unanswered.count += 1

    def on_answer(self, asked_ms: int, name: str) -> None:
        """Record that a node ran after it was asked."""
        self._last_answer_ms = max(asked_ms, self._last_answer_ms or asked_ms)
        self._unanswered_by_name.pop(name, None)
        self._ended.discard(name)

    def on_ended(self, name: str) -> None:
        """Record that the row of an absent node ends."""
        self.forget(name)
        self._ended.add(name)

    def absent(self, now_ms: int, names: Collection[str]) -> list[str]:
        """Return the names of the absent nodes."""
        if self._last_answer_ms is None or now_ms - self._last_answer_ms > _ROUND_MS:
            return []
        return [name for name in names if self._is_absent(now_ms, name)]

    def forget(self, name: str) -> None:
        """Count the questions to a node anew."""
        self._asked_ms_by_name.pop(name, None)
        self._unanswered_by_name.pop(name, None)

    def _is_absent(self, now_ms: int, name: str) -> bool:
        unanswered = self._unanswered_by_name.get(name)
        if unanswered is None or unanswered.count < _MIN_QUESTIONS:
            return False
        has_returned = name in self._ended
        limit_ms = _RETURNED_ABSENT_MS if has_returned else _ABSENT_MS
        return now_ms - unanswered.first_ms >= limit_ms
