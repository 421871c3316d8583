"""A position in the sequence of a store's writes."""

from dataclasses import dataclass

# Versions within one era stay below this number. The integer that combines an era and a
# version stays within the range that JSON parsers represent exactly.
_VERSIONS_PER_ERA = 1 << 32


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A version in one era of a store.

    When a store is restored from an older snapshot, it begins a new era and assigns
    versions again. Versions of different eras cannot be compared; any position of a
    later era is later. A store without eras is always in era 0.

    >>> Position(1, 900) < Position(2, 4) < Position(2, 5)
    True
    """

    era: int
    version: int

    def __str__(self) -> str:
        return f"version {self.version} of era {self.era}"

    @property
    def ordinal(self) -> int:
        """Return an integer that increases with the position, or 0 in era 0.

        >>> Position(2, 4).ordinal - Position(1, 900).ordinal > 0
        True
        """
        return self.era * _VERSIONS_PER_ERA + self.version if self.era else 0
