"""Measures limits in all cases: new and returning prompts, one to eight nodes.

The figures are the same in every run, but they take too long for every CI run.
"""

from fireflyward.bench._balancing import ANDINOS, NOTA_BIRLIK, DeploymentShape
from fireflyward.bench._bench import Bench, Figure
from fireflyward.bench._overload import flood_ratio, goodput

_SECONDS = 12.0
_SMALL_REQUESTS = 250


def _figures() -> list[Figure]:
    return [
        figure
        for shape in (ANDINOS, NOTA_BIRLIK)
        for reuse in (False, True)
        for figure in _rows(shape, reuse)
    ]


def _rows(shape: DeploymentShape, reuse: bool) -> list[Figure]:
    series = f"limits_loads.{shape.name}.{'returning' if reuse else 'new'}"
    rows = []
    for load_factor in (1.5, 2.0, 5.0):
        share = goodput(shape, load_factor=load_factor, seconds=_SECONDS, reuse=reuse)
        rows.append(
            Figure(f"{series}.goodput_at_{load_factor:g}x", share, "of capacity")
        )
    for chunked in (True, False):
        for nodes in (1, 3, 8):
            ratio = flood_ratio(
                shape, nodes=nodes, count=_SMALL_REQUESTS, reuse=reuse, chunked=chunked
            )
            kind = "chunked" if chunked else "whole_prefill"
            name = f"{series}.{kind}.nodes_{nodes}.small_p95_to_alone"
            rows.append(Figure(name, ratio, "×"))
    return rows


BENCH = Bench("limits_loads", _figures, is_count=False)
