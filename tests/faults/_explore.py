"""Finds the steps of each procedure, and runs a cell for each fault at each step."""

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from fireflyward.steps import Step

from ._faults import FAULT_BY_NAME, IMPOSSIBLE
from ._matrix import Cell, Injection, Result, all_steps, pick_pairs, run_cell
from ._procedures import PROCEDURE_BY_NAME, PROCEDURES_BY_KIND

PAIR_SEED = 7
_PREREQUISITES_FILE = Path(__file__).parent / "leads.json"
_MAX_PREREQUISITES = 2

Map = Callable[[Callable[[Cell], Result], Iterable[Cell]], Iterable[Result]]
Prerequisites = tuple[Injection, ...]


@dataclass(slots=True)
class MatrixResults:
    """All results, and for each step the faults that are needed to reach it."""

    procedures: tuple[str, ...] = ()
    results: list[Result] = field(default_factory=list)
    prerequisites_by_place: dict[tuple[str, Step], Prerequisites] = field(
        default_factory=dict
    )
    impossible: dict[tuple[str, Step, str], str] = field(default_factory=dict)

    @property
    def unreached(self) -> list[Step]:
        """Return the steps at which no cell injects a fault."""
        return sorted(all_steps() - {step for _, step in self.prerequisites_by_place})

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
) -> MatrixResults:
    """Run every cell; steps reached after a fault lead to further cells.

    Some steps, such as resuming a stream, are reached only after a fault. The
    prerequisites of such a step are the faults of the first cell, in a fixed order,
    that reached the step after its last fault.
    """
    matrix = MatrixResults(tuple(procedures))
    new_places = _record_new_places(matrix, list(run(run_cell, map(Cell, procedures))))
    for _ in range(_MAX_PREREQUISITES + 1):
        cells = [cell for place in new_places for cell in _cells(matrix, *place)]
        results = list(run(run_cell, cells))
        matrix.results += results
        new_places = _record_new_places(matrix, results)
    matrix.results += run(run_cell, list(pick_pairs(matrix.results, seed, pairs)))
    return matrix


def write_prerequisites(matrix: MatrixResults) -> None:
    """Save the prerequisites of each step for the part of the matrix that CI runs."""
    rows = [
        [procedure, step.value, [[at.value, name] for at, name in prerequisites]]
        for (procedure, step), prerequisites in sorted(
            matrix.prerequisites_by_place.items()
        )
    ]
    lines = ",\n".join(json.dumps(row) for row in rows)
    _PREREQUISITES_FILE.write_text(f"[\n{lines}\n]\n")


def read_prerequisites() -> dict[tuple[str, Step], Prerequisites]:
    """Return the saved prerequisites, without steps that no longer exist."""
    step_by_value = {step.value: step for step in all_steps()}
    prerequisites_by_place = {}
    for procedure, value, prerequisites in json.loads(_PREREQUISITES_FILE.read_text()):
        if {value, *(at for at, _ in prerequisites)} <= step_by_value.keys():
            injections = tuple((step_by_value[at], name) for at, name in prerequisites)
            prerequisites_by_place[procedure, step_by_value[value]] = injections
    return prerequisites_by_place


def _record_new_places(
    matrix: MatrixResults, results: list[Result]
) -> list[tuple[str, Step]]:
    """Record the prerequisites of the steps that are reached for the first time."""
    new_places = []
    for result in results:
        prerequisites = result.cell.injections
        for step in (
            sorted(result.steps) if len(prerequisites) <= _MAX_PREREQUISITES else ()
        ):
            place = result.cell.procedure, step
            allowed_procedures = PROCEDURES_BY_KIND.get(type(step).__name__, place)
            if (
                place not in matrix.prerequisites_by_place
                and place[0] in allowed_procedures
            ):
                matrix.prerequisites_by_place[place] = prerequisites
                new_places.append(place)
    return new_places


def _cells(matrix: MatrixResults, procedure: str, step: Step) -> list[Cell]:
    prerequisites = matrix.prerequisites_by_place[procedure, step]
    cells = []
    for name in FAULT_BY_NAME:
        reason = IMPOSSIBLE.get((name, procedure))
        if reason:
            matrix.impossible[procedure, step, name] = reason
        else:
            cells.append(Cell(procedure, (*prerequisites, (step, name))))
    return cells
