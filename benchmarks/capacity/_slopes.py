"""Slopes: a cost measured at three or more sizes, and the line through them."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import numpy

_REPEATS = 5


@dataclass(frozen=True, slots=True)
class Slope:
    """``value = base + each * size`` fitted to what was measured.

    ``worst_miss`` is the largest relative distance of a measured value from the
    line; a large one says that the line should not be trusted beyond the sizes.
    """

    base: float
    each: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def worst_miss(self) -> float:
        misses = [
            abs(self.at(size) - value) / max(value, 1e-12)
            for size, value in zip(self.sizes, self.values, strict=True)
        ]
        return max(misses)

    def at(self, size: float) -> float:
        """Return the value that the line gives at ``size``."""
        return self.base + self.each * size


def fit(sizes: tuple[float, ...], measure: Callable[[float], float]) -> Slope:
    """Measure at each size and fit the line of least squares."""
    if len(sizes) < 3:
        raise ValueError("a slope needs three sizes")
    values = tuple(measure(size) for size in sizes)
    each, base = numpy.polyfit(sizes, values, 1)
    return Slope(float(base), float(each), tuple(sizes), values)


def bytes_of(build: Callable[[], object]) -> float:
    """Return the bytes that Python holds for what ``build`` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert built is not None
    return after - before


def microseconds_of(act: Callable[[], object], *, rounds: int) -> float:
    """Return the least time of one call among several series, in microseconds."""
    best = float("inf")
    for _ in range(_REPEATS):
        began = time.perf_counter()
        for _ in range(rounds):
            act()
        best = min(best, time.perf_counter() - began)
    return best / rounds * 1e6
