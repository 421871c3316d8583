"""Collects when other nodes completed answers to prompts with some parts."""

import asyncio
from collections.abc import Iterable, Sequence


class Evidence:
    """The nodes' answers to one question; ``is_complete`` once all have answered.

    >>> evidence = Evidence([7], ["b"])
    >>> evidence.on_answer(100, "b", [30], 5, 2)
    >>> evidence.last_ms(7), evidence.answers, evidence.is_complete.is_set()
    (70, 5, True)
    """

    __slots__ = (
        "_last_ms_by_part",
        "answers",
        "first_ms",
        "is_complete",
        "missing",
        "parts",
        "recent",
        "silent",
    )

    def __init__(self, parts: Sequence[int], nodes: Iterable[str]) -> None:
        self.parts = parts
        self._last_ms_by_part: dict[int, int] = {}
        self.missing = set(nodes)
        # Of these, the nodes that have told something lately, so they do run.
        self.silent: frozenset[str] = frozenset()
        self.answers = 0
        # When the first of all these answers was completed, if that is known.
        self.first_ms: int | None = None
        self.recent = 0
        self.is_complete = asyncio.Event()

    def on_answer(
        self,
        now_ms: int,
        node: str,
        ages_ms: Sequence[int],
        answers: int,
        recent: int,
        first_age_ms: int = -1,
    ) -> None:
        """Record a node's answer: ages of its last answers, -1 if it has none.

        ``recent`` is how many of its ``answers`` were completed in the last seconds,
        and ``first_age_ms`` is how long ago the first of them was, -1 if unknown.
        """
        if node not in self.missing:
            return
        self.missing.discard(node)
        self.answers += max(0, answers)
        self.recent += max(0, recent)
        if first_age_ms >= 0:
            first_ms = now_ms - first_age_ms
            if self.first_ms is None or first_ms < self.first_ms:
                self.first_ms = first_ms
        for part, age_ms in zip(self.parts, ages_ms, strict=False):
            if age_ms >= 0:
                at_ms = now_ms - age_ms
                self._last_ms_by_part[part] = max(
                    at_ms, self._last_ms_by_part.get(part, at_ms)
                )
        if not self.missing:
            self.is_complete.set()

    def last_ms(self, part: int) -> int | None:
        """Return when any of the nodes last completed an answer with a part."""
        return self._last_ms_by_part.get(part)
