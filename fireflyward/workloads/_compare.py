"""A table that compares all policies, and ours with silent stores and slow links."""

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from ._andinos import AndinosLoad, andinos_prompts
from ._nota_birlik import NotaBirlikLoad, nota_birlik_prompts
from ._policies import Policy
from ._prompts import MINUTE_MS, Prompt
from ._replay import Replay, ReplayFaults, ReplayResult
from ._shape import ANDINOS, NOTA_BIRLIK, DeploymentShape

_TERABYTE = 1e12
_SLOW_LINK_SHARE = 0.1
_SMALL_MEMORY_SHARE = 0.4
_QUANTILES = (50, 95, 99)


class Setting(enum.StrEnum):
    """A condition under which our policy is compared with having no store."""

    NO_STORE = "ours, no store"
    DEAD_STORE = "ours, one store dead"
    DEAD_STORES = "ours, all stores dead"
    SLOW_LINKS = "ours, links at 10%"


@dataclass(frozen=True, slots=True)
class Workload:
    """A deployment, and the function that draws its prompts from a seed."""

    shape: DeploymentShape
    prompts: Callable[[int], list[Prompt]]


def workload(name: str, *, is_small: bool = False) -> Workload:
    """Return ``andinos`` or ``nota-birlik``, in full or small enough for CI.

    The small workload has the same replicas, stores, nodes and prompt sizes, but few
    documents, less time between visits, and two fifths of the memory and disk space.
    """
    return _SMALL_BY_NAME[name] if is_small else _FULL_BY_NAME[name]


def replay(
    load: Workload, prompts: Sequence[Prompt], scenario: Policy | Setting, seed: int
) -> ReplayResult:
    """Replay prompts under a policy, or under our policy in one setting."""
    shape, faults, policy = load.shape, ReplayFaults(), Policy.OURS
    if isinstance(scenario, Policy):
        policy = scenario
    elif scenario is Setting.NO_STORE:
        shape = shape.without_stores()
    elif scenario is Setting.SLOW_LINKS:
        shape = shape.with_links(_SLOW_LINK_SHARE)
    else:
        silent_stores = 1 if scenario is Setting.DEAD_STORE else shape.stores
        faults = ReplayFaults(silent_stores=silent_stores)
    return Replay(shape, policy, seed=seed, faults=faults).run(prompts)


def table_row(name: str, result: ReplayResult) -> dict[str, str | float]:
    """Return a row of the table as a dict from column to value."""
    row: dict[str, str | float] = {
        "policy": name,
        "recomputed_share": round(result.recomputed_share, 4),
    }
    for percentile in _QUANTILES:
        wait_ms = result.quantile_ms(percentile)
        row[f"first_token_p{percentile}_ms"] = round(wait_ms, 1)
    row["link_terabytes"] = round(result.link_bytes / _TERABYTE, 3)
    row["prompts"] = len(result.first_token_ms)
    return row


_FULL_BY_NAME = {
    "andinos": Workload(ANDINOS, andinos_prompts),
    "nota-birlik": Workload(
        replace(NOTA_BIRLIK, compute_weight=0.0), nota_birlik_prompts
    ),
}
_SMALL_ANDINOS = AndinosLoad(
    shift_hours=2.0, building_models=20, visit_gap_ms=15 * MINUTE_MS, batch_prompts=20
)
_SMALL_NOTA_BIRLIK = NotaBirlikLoad(
    days=1, open_hours=4.0, ledgers=18, question_gap_ms=25 * MINUTE_MS, disputes=50
)
_SMALL_BY_NAME = {
    "andinos": Workload(
        ANDINOS.with_memory(_SMALL_MEMORY_SHARE),
        lambda seed: andinos_prompts(seed, _SMALL_ANDINOS),
    ),
    "nota-birlik": Workload(
        _FULL_BY_NAME["nota-birlik"].shape.with_memory(_SMALL_MEMORY_SHARE),
        lambda seed: nota_birlik_prompts(seed, _SMALL_NOTA_BIRLIK),
    ),
}
