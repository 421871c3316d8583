"""Finds the measurements, runs them and compares their figures with bounds."""

import importlib
import pkgutil
import tomllib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from . import measures


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value, such as ``Figure("replay.recomputed_ratio", 1.1, "×")``."""

    name: str
    value: float
    unit: str


@dataclass(frozen=True, slots=True)
class Bench:
    """One measurement.

    ``is_count`` is true if the figures are the same in every run, because they are
    counts on a faked clock with a fixed seed. CI checks the bounds of such
    figures only. Timings are ratios to a baseline that the same call measures.
    """

    name: str
    run: Callable[[], list[Figure]]
    is_count: bool


@dataclass(frozen=True, slots=True)
class Bound:
    """The allowed range of a figure and the commit that set it."""

    lowest: float
    highest: float
    commit: str


@dataclass(frozen=True, slots=True)
class Row:
    """A figure with its bound and verdict: ``met``, ``missed`` or ``no bound``."""

    figure: Figure
    bound: Bound | None

    @property
    def verdict(self) -> str:
        if self.bound is None:
            return "no bound"
        met = self.bound.lowest <= self.figure.value <= self.bound.highest
        return "met" if met else "missed"

    @property
    def bound_text(self) -> str:
        if self.bound is None:
            return "-"
        return f"{self.bound.lowest:g} to {self.bound.highest:g}"


def find_benches() -> dict[str, Bench]:
    """Return every measurement by name."""
    bench_by_name = {}
    for module_info in pkgutil.iter_modules(measures.__path__):
        module = importlib.import_module(f"{measures.__name__}.{module_info.name}")
        bench_by_name[module.BENCH.name] = module.BENCH
    return dict(sorted(bench_by_name.items()))


def load_bounds(path: Path) -> dict[str, Bound]:
    """Read bounds by figure name from a TOML file of ``["name"]`` tables."""
    table = tomllib.loads(path.read_text())
    return {
        name: Bound(
            float(entry.get("min", "-inf")),
            float(entry.get("max", "inf")),
            entry["commit"],
        )
        for name, entry in table.items()
    }


def run_benches(
    benches: Iterable[Bench], bound_by_figure: dict[str, Bound]
) -> Iterator[Row]:
    """Run the measurements in order and yield each figure with its bound."""
    for bench in benches:
        for figure in bench.run():
            yield Row(figure, bound_by_figure.get(figure.name))
