"""Measures overload and floods of one account at nodes that apply limits."""

from dataclasses import replace

from ._balancing import CAPACITY_BY_SHAPE, DeploymentShape, Request, make_requests
from ._limiting import LimitingSimulation

_SMALL_SHARE = 0.1
_FLOOD_LOAD_FACTOR = 2.0
_WARM_UP_REQUESTS = 30
_MS_PER_SECOND = 1_000


def goodput(
    shape: DeploymentShape, *, load_factor: float, seconds: float, reuse: bool
) -> float:
    """Return the requests served per second as a share of the capacity.

    Callers send ``load_factor`` times the capacity. The first quarter and the last
    twentieth of the time are not counted.
    """
    capacity = CAPACITY_BY_SHAPE[shape.name][reuse]
    requests = make_requests(
        shape,
        count=int(capacity * load_factor * seconds),
        per_second=capacity * load_factor,
        reuse=reuse,
        seed=3,
    )
    simulation = LimitingSimulation(shape)
    simulation.run(requests)
    from_ms, to_ms = requests[-1].at_ms * 0.25, requests[-1].at_ms * 0.95
    served = [run for run in simulation.runs if from_ms < run.first_token_ms < to_ms]
    return len(served) * _MS_PER_SECOND / (to_ms - from_ms) / capacity


def flood_ratio(
    shape: DeploymentShape, *, nodes: int, count: int, reuse: bool, chunked: bool = True
) -> float:
    """Return a small account's p95 during a flood as a ratio to its p95 alone.

    The p95 is that of the time to first token. The small account sends a tenth of
    the capacity, the large account sends twice the capacity, and ``nodes`` nodes
    serve both.
    """
    shape = replace(shape, node_domains=shape.node_domains[:nodes])
    capacity = CAPACITY_BY_SHAPE[shape.name][reuse]
    small = _account_requests(
        "small", shape, count, capacity * _SMALL_SHARE, reuse=reuse, seed=5
    )
    seconds = small[-1].at_ms / _MS_PER_SECOND
    large_count = int(seconds * capacity * _FLOOD_LOAD_FACTOR)
    large = _account_requests(
        "large", shape, large_count, capacity * _FLOOD_LOAD_FACTOR, reuse=reuse, seed=6
    )
    combined = sorted(small + large, key=lambda request: request.at_ms)
    alone_ms = _small_account_p95_ms(LimitingSimulation(shape, chunked=chunked), small)
    return (
        _small_account_p95_ms(LimitingSimulation(shape, chunked=chunked), combined)
        / alone_ms
    )


def _account_requests(
    account: str,
    shape: DeploymentShape,
    count: int,
    rate: float,
    *,
    reuse: bool,
    seed: int,
) -> list[Request]:
    requests = make_requests(
        shape, count=count, per_second=rate, reuse=reuse, seed=seed
    )
    return [
        replace(
            request,
            account=account,
            block_keys=tuple(f"{account}/{key}" for key in request.block_keys),
        )
        for request in requests
    ]


def _small_account_p95_ms(
    simulation: LimitingSimulation, requests: list[Request]
) -> float:
    simulation.run(requests)
    first_token_ms = sorted(
        simulation.first_token_ms_by_account["small"][_WARM_UP_REQUESTS:]
    )
    return first_token_ms[int(0.95 * len(first_token_ms))]
