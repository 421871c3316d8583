"""Measures the small replay of both deployments; its counts are always the same."""

from fireflyward.bench import Bench, Figure
from fireflyward.workloads import Policy, replay, workload

_SEED = 1


def _run() -> list[Figure]:
    return [*_andinos(), *_nota_birlik()]


def _andinos() -> list[Figure]:
    load = workload("andinos", is_small=True)
    prompts = load.prompts(_SEED)
    share = {
        policy: replay(load, prompts, policy, _SEED).recomputed_share
        for policy in (Policy.LEAST_LOADED, Policy.OURS, Policy.BOUND)
    }
    ours = share[Policy.OURS]
    return [
        Figure("replay_small.andinos.to_bound", ours / share[Policy.BOUND], "×"),
        Figure(
            "replay_small.andinos.to_least_loaded",
            ours / share[Policy.LEAST_LOADED],
            "×",
        ),
    ]


def _nota_birlik() -> list[Figure]:
    load = workload("nota-birlik", is_small=True)
    prompts = load.prompts(_SEED)
    p95 = {
        policy: replay(load, prompts, policy, _SEED).quantile_ms(95)
        for policy in (Policy.LEAST_LOADED, Policy.OURS)
    }
    ratio = p95[Policy.OURS] / p95[Policy.LEAST_LOADED]
    return [Figure("replay_small.nota_birlik.p95_to_least_loaded", ratio, "×")]


BENCH = Bench("replay_small", _run, is_count=True)
