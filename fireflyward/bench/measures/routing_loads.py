"""The whole table of routing: both deployments, four loads, three balancers.

The figures are the same in every run, but too many to make on every check.
"""

from fireflyward.bench import _balancing as balancing
from fireflyward.bench._bench import Bench, Figure

_REQUESTS = 2_000
_SATURATING = 3.0
_LOADS = (0.5, 0.8, 0.95, 1.5)
_SEED = 3
_MAKE_BY_NAME = {
    "round_robin": balancing.make_round_robin,
    "least_connections": balancing.make_least_connections,
    "router": balancing.make_router,
}


def _figures() -> list[Figure]:
    figures = []
    for shape in (balancing.ANDINOS, balancing.NOTA_BIRLIK):
        for reuse in (False, True):
            capacity = balancing.CAPACITY_BY_SHAPE[shape.name][reuse]
            for name in _MAKE_BY_NAME:
                result = _play(shape, name, capacity * _SATURATING, reuse=reuse)
                series = f"{_series(shape, name, reuse)}.saturated"
                figures.append(Figure(series, result.per_second, "1/s"))
                for load in _LOADS:
                    result = _play(shape, name, capacity * load, reuse=reuse)
                    series = f"{_series(shape, name, reuse)}.load_{load:g}"
                    figures.extend(_rows(series, result))
    return figures


def _series(shape: balancing.Shape, balancer: str, reuse: bool) -> str:
    kind = "returning" if reuse else "new"
    return f"routing_loads.{shape.name}.{kind}.{balancer}"


def _play(
    shape: balancing.Shape, balancer: str, per_second: float, *, reuse: bool
) -> balancing.Result:
    requests = balancing.make_requests(
        shape, count=_REQUESTS, per_second=per_second, reuse=reuse, seed=_SEED
    )
    return balancing.Balancing(shape, _MAKE_BY_NAME[balancer]).run(requests)


def _rows(series: str, result: balancing.Result) -> list[Figure]:
    rows = [
        Figure(f"{series}.p{share * 100:g}", result.quantile_ms(share), "ms")
        for share in (0.5, 0.95, 0.99)
    ]
    recomputed = result.computed_tokens / result.prompt_tokens
    return [*rows, Figure(f"{series}.recomputed", recomputed, "share")]


BENCH = Bench("routing_loads", _figures, is_count=False)
