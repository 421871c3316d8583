"""Measures goodput under overload and a small account's p95 during a flood."""

from fireflyward.bench._balancing import ANDINOS, NOTA_BIRLIK
from fireflyward.bench._bench import Bench, Figure
from fireflyward.bench._overload import flood_ratio, goodput

_SECONDS = 6.0
_SMALL_REQUESTS = 120
_NODES = 8


def _figures() -> list[Figure]:
    figures = []
    for shape in (ANDINOS, NOTA_BIRLIK):
        for load_factor in (2.0, 5.0):
            share = goodput(
                shape, load_factor=load_factor, seconds=_SECONDS, reuse=False
            )
            name = f"limits.{shape.name}.goodput_at_{load_factor:g}x"
            figures.append(Figure(name, share, "of capacity"))
        ratio = flood_ratio(shape, nodes=_NODES, count=_SMALL_REQUESTS, reuse=False)
        figures.append(Figure(f"limits.{shape.name}.small_p95_to_alone", ratio, "×"))
    return figures


BENCH = Bench("limits", _figures, is_count=True)
