"""Collects what nodes answer to the question where a stream began."""

import asyncio
from collections.abc import Iterable


class Lookup:
    """The answers to one question; ``done`` is set once no further answer matters.

    >>> lookup = Lookup(["a", "b"])
    >>> lookup.on_answer("a", None, ["v1", "v2"])
    >>> lookup.done.is_set(), lookup.software
    (False, None)
    >>> lookup.on_answer("b", "v1", ["v1"])
    >>> lookup.done.is_set(), lookup.software, lookup.source
    (True, 'v1', 'b')

    ``before_starts`` are the versions at which the nodes that answered may have begun
    the stream before they started, None if one of them cannot say. ``is_single`` says
    that without a record the stream can have begun at one version only.
    """

    __slots__ = (
        "_asked",
        "before_starts",
        "done",
        "is_single",
        "software",
        "source",
        "versions",
    )

    def __init__(self, asked: Iterable[str]) -> None:
        self._asked = set(asked)
        self.done = asyncio.Event()
        self.is_single = False
        self.software: str | None = None
        self.source = ""
        self.versions: set[str] = set()
        self.before_starts: frozenset[str] | None = frozenset()
        self._check()

    def ask_more(self, names: Iterable[str]) -> None:
        """Wait for the answers of further nodes."""
        self._asked.update(names)
        self.done.clear()
        self._check()

    def on_answer(
        self,
        node: str,
        software: str | None,
        versions: Iterable[str],
        before_start: Iterable[str] | None = (),
    ) -> None:
        """Record the answer of one node; ``software`` is None if it knows nothing.

        ``before_start`` is None if the node cannot say where it may have begun streams
        before it started.
        """
        self._asked.discard(node)
        self.versions.update(versions)
        self.on_before_start(before_start)
        if software is not None and self.software is None:
            self.software, self.source = software, node
        self._check()

    def on_before_start(self, versions: Iterable[str] | None) -> None:
        """Add where a node may have begun the stream before it started."""
        if versions is None or self.before_starts is None:
            self.before_starts = None
        else:
            self.before_starts |= frozenset(versions)

    def is_awaited(self, node: str) -> bool:
        """Return whether a node was asked and has not answered."""
        return node in self._asked

    @property
    def has_answers_of_all(self) -> bool:
        """Return whether each node that was asked answered, and knows the service."""
        return not self._asked and bool(self.versions)

    @property
    def unanswered(self) -> int:
        """Return how many nodes have not answered."""
        return len(self._asked)

    def _check(self) -> None:
        if self.software is not None or not self._asked:
            self.done.set()
