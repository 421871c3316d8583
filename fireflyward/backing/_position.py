"""A place in the history of a store."""

from dataclasses import dataclass

# Versions of one era stay below this; era and version together stay within the whole
# numbers that JSON readers take exactly.
_VERSIONS_PER_ERA = 1 << 32


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A version in one era of a store.

    A store that comes back from an older copy begins another era and gives versions out
    again. Versions of two eras do not compare, and any position of a later era is
    later. A store that never does so is in era 0 for good.

    >>> Position(1, 900) < Position(2, 4) < Position(2, 5)
    True
    """

    era: int
    version: int

    def __str__(self) -> str:
        return f"version {self.version} of era {self.era}"

    @property
    def number(self) -> int:
        """Return a number that grows with the position, 0 for all of era 0.

        >>> Position(2, 4).number - Position(1, 900).number > 0
        True
        """
        return self.era * _VERSIONS_PER_ERA + self.version if self.era else 0
