"""Measurements with regression bounds: ``fireflyward bench``."""

from ._bench import Bench, Bound, Figure, Row, find_benches, load_bounds, run_benches
from ._report import write_report

__all__ = [
    "Bench",
    "Bound",
    "Figure",
    "Row",
    "find_benches",
    "load_bounds",
    "run_benches",
    "write_report",
]
