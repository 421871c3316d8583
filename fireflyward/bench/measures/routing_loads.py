"""Measures routing in all cases: both deployments, four loads, three balancers.

The figures are the same in every run, but they take too long for every CI run.
"""

from fireflyward.bench import _balancing as balancing
from fireflyward.bench._bench import Bench, Figure

_REQUESTS = 2_000
_SATURATION_LOAD = 3.0
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
                result = _simulate(
                    shape, name, capacity * _SATURATION_LOAD, reuse=reuse
                )
                series = f"{_series(shape, name, reuse)}.saturated"
                figures.append(Figure(series, result.per_second, "1/s"))
                for load in _LOADS:
                    result = _simulate(shape, name, capacity * load, reuse=reuse)
                    series = f"{_series(shape, name, reuse)}.load_{load:g}"
                    figures.extend(_rows(series, result))
    return figures


def _series(shape: balancing.DeploymentShape, balancer: str, reuse: bool) -> str:
    kind = "returning" if reuse else "new"
    return f"routing_loads.{shape.name}.{kind}.{balancer}"


def _simulate(
    shape: balancing.DeploymentShape, balancer: str, per_second: float, *, reuse: bool
) -> balancing.Result:
    requests = balancing.make_requests(
        shape, count=_REQUESTS, per_second=per_second, reuse=reuse, seed=_SEED
    )
    return balancing.BalancingSimulation(shape, _MAKE_BY_NAME[balancer]).run(requests)


def _rows(series: str, result: balancing.Result) -> list[Figure]:
    rows = [
        Figure(f"{series}.p{share * 100:g}", result.quantile_ms(share), "ms")
        for share in (0.5, 0.95, 0.99)
    ]
    recomputed = result.computed_tokens / result.prompt_tokens
    return [*rows, Figure(f"{series}.recomputed", recomputed, "share")]


BENCH = Bench("routing_loads", _figures, is_count=False)
