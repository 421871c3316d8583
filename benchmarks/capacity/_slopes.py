"""Fits a line to a cost that is measured at three or more sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import numpy

_REPEATS = 5


@dataclass(frozen=True, slots=True)
class Slope:
    """The line ``value = base + per_unit * size``, fitted to measured values.

    ``worst_relative_error`` is the largest relative distance of a measured value
    from the line. If it is large, the line is not reliable beyond the measured sizes.
    """

    base: float
    per_unit: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def worst_relative_error(self) -> float:
        relative_errors = [
            abs(self.at(size) - value) / max(value, 1e-12)
            for size, value in zip(self.sizes, self.values, strict=True)
        ]
        return max(relative_errors)

    def at(self, size: float) -> float:
        """Return the value that the line gives at ``size``."""
        return self.base + self.per_unit * size


def fit(sizes: tuple[float, ...], measure: Callable[[float], float]) -> Slope:
    """Measure at each size and fit a line by least squares."""
    if len(sizes) < 3:
        raise ValueError("a slope needs at least three sizes")
    values = tuple(measure(size) for size in sizes)
    per_unit, base = numpy.polyfit(sizes, values, 1)
    return Slope(float(base), float(per_unit), tuple(sizes), values)


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for the object that ``build`` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert built is not None
    return after - before


def call_duration_us(function: Callable[[], object], *, rounds: int) -> float:
    """Return the microseconds of one call, as the mean of the fastest series."""
    best = float("inf")
    for _ in range(_REPEATS):
        started_s = time.perf_counter()
        for _ in range(rounds):
            function()
        best = min(best, time.perf_counter() - started_s)
    return best / rounds * 1e6
