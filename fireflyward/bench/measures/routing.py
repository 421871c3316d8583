"""Compares time to first token and recomputed share with two common balancers."""

from fireflyward.bench import _balancing as balancing
from fireflyward.bench._bench import Bench, Figure

_REQUESTS = 600
_LOADS = (0.8, 0.95)
_SEED = 3


def _figures() -> list[Figure]:
    figures = []
    for shape in (balancing.ANDINOS, balancing.NOTA_BIRLIK):
        for load in _LOADS:
            figures.extend(_comparison_figures(shape, load))
    return figures


def _comparison_figures(shape: balancing.DeploymentShape, load: float) -> list[Figure]:
    """Run one stream of returning prompts with each of three balancers."""
    per_second = balancing.CAPACITY_BY_SHAPE[shape.name][1] * load
    requests = balancing.make_requests(
        shape, count=_REQUESTS, per_second=per_second, reuse=True, seed=_SEED
    )
    round_robin, least_connections, router = (
        balancing.BalancingSimulation(shape, make).run(requests)
        for make in (
            balancing.make_round_robin,
            balancing.make_least_connections,
            balancing.make_router,
        )
    )
    name = f"routing.{shape.name}.load_{load:g}"
    p95 = router.quantile_ms(0.95)
    return [
        Figure(
            f"{name}.p95_to_round_robin", p95 / round_robin.quantile_ms(0.95), "ratio"
        ),
        Figure(
            f"{name}.p95_to_least_connections",
            p95 / least_connections.quantile_ms(0.95),
            "ratio",
        ),
        Figure(
            f"{name}.recomputed_to_least_connections",
            router.computed_tokens / least_connections.computed_tokens,
            "ratio",
        ),
    ]


BENCH = Bench("routing", _figures, is_count=True)
