"""Which era of a store is the latest that is known."""

import logging
from collections.abc import Callable, Iterable

from ._position import Position

log = logging.getLogger("fireflyward.store")

# A number that is further ahead cannot be a count of drills. Believed, it would make
# every later answer one of an earlier era.
_MOST_MISSED = 1_000


class Eras:
    """Judges answers and conditions by the era that they belong to; no I/O.

    An answer of an earlier era than the latest is late: what it tells may have been
    lost by the store. A condition of an earlier era may hold by chance, since versions
    are given out again. ``on_new_era`` is called when the store has come back from an older
    copy.

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
        """Return the latest era, 0 where none was told yet."""
        return self._latest or 0

    def observe(self, era: int) -> None:
        """Take the era in which the store, or another node, was seen to be."""
        before = self._latest
        if before is None:
            self._latest = era
            log.info("store: it is in era %d", era)
        elif era > before:
            self._latest = era
            log.warning(
                "store: it came back from an older copy: era %d after %d", era, before
            )
            self.on_new_era()

    def era_of_answer(self, told: int | None) -> int:
        """Take the era of an answer; one that tells none is of the latest."""
        era = self.latest if told is None else told
        if self._latest is not None and era > self._latest + _MOST_MISSED:
            log.error("store: an answer tells era %d after %d", era, self._latest)
            era = self._latest
        self.observe(era)
        return era

    def is_outdated(self, era: int) -> bool:
        """Tell whether an answer of this era comes after one of a later era."""
        return era < self.latest

    def may_match_reused_version(self, expected: Iterable[Position]) -> bool:
        """Tell whether a condition rests on readings of an earlier era."""
        return any(self.is_outdated(read.era) for read in expected)
