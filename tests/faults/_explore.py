"""Finds the steps that each procedure passes, and runs every cell over them."""

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from fireflyward.steps import Step

from ._faults import FAULT_BY_NAME, IMPOSSIBLE
from ._matrix import Cell, Result, Struck, all_steps, pick_pairs, run_cell
from ._procedures import PROCEDURE_BY_NAME, PROCEDURES_BY_KIND

PAIR_SEED = 7
LEADS = Path(__file__).parent / "leads.json"
_MAX_LEAD = 2

Map = Callable[[Callable[[Cell], Result], Iterable[Cell]], Iterable[Result]]
Lead = tuple[Struck, ...]


@dataclass(slots=True)
class Found:
    """All results, and the faults that lead to steps which need some."""

    procedures: tuple[str, ...] = ()
    results: list[Result] = field(default_factory=list)
    lead_by_place: dict[tuple[str, Step], Lead] = field(default_factory=dict)
    impossible: dict[tuple[str, Step, str], str] = field(default_factory=dict)

    @property
    def unreached(self) -> list[Step]:
        """Return the steps that no cell strikes at."""
        return sorted(all_steps() - {step for _, step in self.lead_by_place})

    @property
    def failed(self) -> list[Result]:
        return [result for result in self.results if result.problems]

    @property
    def is_met(self) -> bool:
        return not self.failed and not self.unreached


def explore(
    run: Map,
    *,
    pairs: int,
    seed: int = PAIR_SEED,
    procedures: Sequence[str] = tuple(PROCEDURE_BY_NAME),
) -> Found:
    """Run every cell; what a cell reaches after its strike leads to more cells.

    The way to a step that only a fault leads to (such as resuming a stream) is
    the first cell, in a fixed order, in which the step came after the strike.
    """
    found = Found(tuple(procedures))
    fresh = _learn(found, list(run(run_cell, map(Cell, procedures))))
    for _ in range(_MAX_LEAD + 1):
        cells = [cell for place in fresh for cell in _cells(found, *place)]
        results = list(run(run_cell, cells))
        found.results += results
        fresh = _learn(found, results)
    found.results += run(run_cell, list(pick_pairs(found.results, seed, pairs)))
    return found


def write_leads(found: Found) -> None:
    """Keep the way to each step, for the part of the matrix that runs in CI."""
    rows = [
        [procedure, step.value, [[at.value, name] for at, name in lead]]
        for (procedure, step), lead in sorted(found.lead_by_place.items())
    ]
    lines = ",\n".join(json.dumps(row) for row in rows)
    LEADS.write_text(f"[\n{lines}\n]\n")


def read_leads() -> dict[tuple[str, Step], Lead]:
    """Return the kept ways, without those of steps that the code lost."""
    step_by_value = {step.value: step for step in all_steps()}
    found = {}
    for procedure, value, lead in json.loads(LEADS.read_text()):
        if {value, *(at for at, _ in lead)} <= step_by_value.keys():
            strikes = tuple((step_by_value[at], name) for at, name in lead)
            found[procedure, step_by_value[value]] = strikes
    return found


def _learn(found: Found, results: list[Result]) -> list[tuple[str, Step]]:
    """Note the way to each step that was not known before."""
    fresh = []
    for result in results:
        lead = result.cell.strikes
        for step in sorted(result.steps) if len(lead) <= _MAX_LEAD else ():
            place = result.cell.procedure, step
            struck_in = PROCEDURES_BY_KIND.get(type(step).__name__, place)
            if place not in found.lead_by_place and place[0] in struck_in:
                found.lead_by_place[place] = lead
                fresh.append(place)
    return fresh


def _cells(found: Found, procedure: str, step: Step) -> list[Cell]:
    lead = found.lead_by_place[procedure, step]
    cells = []
    for name in FAULT_BY_NAME:
        reason = IMPOSSIBLE.get((name, procedure))
        if reason:
            found.impossible[procedure, step, name] = reason
        else:
            cells.append(Cell(procedure, (*lead, (step, name))))
    return cells
