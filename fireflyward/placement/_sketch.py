"""Counts recent occurrences of keys in a fixed number of bytes."""

_ROWS = 4
_MAX_COUNT = 15
_HALVE = bytes(value >> 1 for value in range(256))


class FrequencySketch:
    """Estimates recent counts; may overestimate a count, but not underestimate it.

    This is a count-min sketch with four rows of ``width`` counters. All counters are
    halved after ``8 * width`` additions, so that the counts of keys which are no
    longer frequent decrease (the ageing of TinyLFU, Einziger et al., 2017). Keys are
    hexadecimal block keys, whose digits are already a hash.

    >>> sketch = FrequencySketch(1024)
    >>> sketch.add("00ff" * 8)
    1
    >>> sketch.count("00ff" * 8)
    1
    """

    __slots__ = ("_additions", "_halve_after", "_mask", "_rows")

    def __init__(self, width: int) -> None:
        if width & (width - 1):
            raise ValueError(f"width must be a power of two, not {width}")
        self._mask = width - 1
        self._rows = [bytearray(width) for _ in range(_ROWS)]
        self._halve_after = 8 * width
        self._additions = 0

    def __repr__(self) -> str:
        return f"FrequencySketch({self._mask + 1})"

    def add(self, key: str) -> int:
        """Add one to the count of ``key`` and return its estimated count."""
        places = self._places(key)
        count = min(row[place] for row, place in places)
        if count < _MAX_COUNT:
            for row, place in places:
                if row[place] == count:
                    row[place] = count + 1
            count += 1
        self._additions += 1
        if self._additions >= self._halve_after:
            self._halve()
        return count

    def count(self, key: str) -> int:
        """Return the estimated recent count of ``key``."""
        return min(row[place] for row, place in self._places(key))

    def _places(self, key: str) -> list[tuple[bytearray, int]]:
        number = int(key[:32], 16)
        mask = self._mask
        return [
            (row, (number >> (24 * index)) & mask)
            for index, row in enumerate(self._rows)
        ]

    def _halve(self) -> None:
        self._rows = [row.translate(_HALVE) for row in self._rows]
        self._additions = 0
