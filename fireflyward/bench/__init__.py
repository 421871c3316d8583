"""Measurements with regression bounds: ``fireflyward bench``."""

from ._bench import Bench, Bound, Figure, Row, find_benches, load_bounds, run_benches

__all__ = [
    "Bench",
    "Bound",
    "Figure",
    "Row",
    "find_benches",
    "load_bounds",
    "run_benches",
]
