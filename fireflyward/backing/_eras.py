"""Tracks the latest known era of a store."""

import logging
from collections.abc import Callable, Iterable

from ._position import Position

log = logging.getLogger("fireflyward.store")

# The store begins a new era whenever it is restored from an older snapshot. A number
# that is further ahead than this cannot be a count of restores. If it were accepted,
# every later answer would count as one of an earlier era.
_MAX_ERA_JUMP = 1_000


class Eras:
    """Detects outdated answers and conditions by their era; no I/O.

    An answer of an earlier era than the latest is outdated: the store may have lost
    the rows in it. A condition of an earlier era may match by coincidence, because the
    store assigns versions again in a new era. ``on_new_era`` is called when the store
    has been restored from an older snapshot.

    >>> eras = Eras()
    >>> eras.era_of_answer(1), eras.era_of_answer(2), eras.era_of_answer(None)
    (1, 2, 2)
    >>> eras.is_outdated(1), eras.may_match_reused_version([Position(1, 40)])
    (True, True)
    """

    __slots__ = ("_latest", "on_new_era")

    def __init__(self) -> None:
        self._latest: int | None = None
        self.on_new_era: Callable[[], None] = lambda: None

    @property
    def latest(self) -> int:
        """Return the latest era, or 0 if no era has been reported yet."""
        return self._latest or 0

    def observe(self, era: int) -> None:
        """Record an era that the store or another node reported."""
        before = self._latest
        if before is None:
            self._latest = era
            log.info("store: current era is %d", era)
        elif era > before:
            self._latest = era
            log.warning(
                "store: it came back from an older copy: era %d after %d", era, before
            )
            self.on_new_era()

    def era_of_answer(self, reported_era: int | None) -> int:
        """Record and return an answer's era; without one it counts as the latest."""
        era = self.latest if reported_era is None else reported_era
        if self._latest is not None and era > self._latest + _MAX_ERA_JUMP:
            log.error(
                "store: implausible era %d in an answer, after era %d",
                era,
                self._latest,
            )
            era = self._latest
        self.observe(era)
        return era

    def is_outdated(self, era: int) -> bool:
        """Return whether a later era than this one is known."""
        return era < self.latest

    def may_match_reused_version(self, expected: Iterable[Position]) -> bool:
        """Return whether a condition refers to positions of an earlier era."""
        return any(self.is_outdated(position.era) for position in expected)
