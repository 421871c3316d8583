"""Measures the full replay of both deployments.

The counts are the same in every run. CI does not check them because the replay takes
minutes.
"""

from fireflyward.bench import Bench, Figure
from fireflyward.workloads import Policy, Setting, replay, workload

_SEED = 1


def _run() -> list[Figure]:
    return [*_figures("andinos"), *_figures("nota-birlik")]


def _figures(name: str) -> list[Figure]:
    load = workload(name)
    prompts = load.prompts(_SEED)
    result = {row: replay(load, prompts, row, _SEED) for row in (*Policy, *Setting)}
    ours, least_loaded = result[Policy.OURS], result[Policy.LEAST_LOADED]
    bound, no_store = result[Policy.BOUND], result[Setting.NO_STORE]
    prefix = f"replay_day.{name.replace('-', '_')}"
    figures = [
        Figure(
            f"{prefix}.recomputed_to_bound",
            ours.recomputed_share / bound.recomputed_share,
            "×",
        ),
        Figure(
            f"{prefix}.recomputed_to_least_loaded",
            ours.recomputed_share / least_loaded.recomputed_share,
            "×",
        ),
        Figure(
            f"{prefix}.p95_to_least_loaded",
            ours.quantile_ms(95) / least_loaded.quantile_ms(95),
            "×",
        ),
    ]
    for row in (Setting.DEAD_STORE, Setting.DEAD_STORES, Setting.SLOW_LINKS):
        ratio = result[row].quantile_ms(95) / no_store.quantile_ms(95)
        figures.append(
            Figure(f"{prefix}.p95_to_no_store.{row.name.lower()}", ratio, "×")
        )
    return figures


BENCH = Bench("replay_day", _run, is_count=False)
