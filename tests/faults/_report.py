"""Formats the matrix as a table for the terminal and as docs/FAULTS.md."""

from collections import Counter

from ._explore import MatrixResults
from ._faults import FAULT_BY_NAME
from ._matrix import Result
from ._procedures import PROCEDURE_BY_NAME

_MAX_SHOWN_FAILURES = 40
_ABOUT = """Written by `make faults`; do not edit. Each cell is a small deployment in
one process on a faked clock (`tests/faults`): a fault strikes when a step is
reached, most faults heal after a while, and `fireflyward.checker` then judges only
what callers, upstreams, stores and the platform saw. A cell passes if no promise
broke and every caller had an outcome. See docs/design/proof.md.
"""


def table(matrix: MatrixResults) -> str:
    """Return one line for each procedure and step, then the failures."""
    lines = [f"{'step':<74} {'passed':>7} {'failed':>7} {'impossible':>11}"]
    for place, counts in _counts(matrix).items():
        name = f"{place[0]}, {place[1]}"
        row = (counts["passed"], counts["failed"], counts["impossible"])
        lines.append(f"{name:<74} {row[0]:>7} {row[1]:>7} {row[2]:>11}")
    for result in matrix.failed[:_MAX_SHOWN_FAILURES]:
        lines.append(f"FAILED {result.cell}")
        lines += [f"    {problem}" for problem in result.problems]
    lines += [f"NO CELL reaches {step!r}" for step in matrix.unreached]
    total = _totals(matrix)
    lines.append(
        f"{total['passed']} passed, {total['failed']} failed, "
        f"{total['impossible']} impossible; {len(matrix.unreached)} steps unreached"
    )
    return "\n".join(lines)


def page(matrix: MatrixResults) -> str:
    """Return the text of docs/FAULTS.md."""
    total = _totals(matrix)
    lines = [
        "# Fault matrix",
        "",
        _ABOUT,
        f"{total['passed']} cells passed, {total['failed']} failed and "
        f"{total['impossible']} are impossible.",
        "",
        "| Procedure | Step | Reached by | Passed | Failed | Impossible |",
        "| --- | --- | --- | ---: | ---: | ---: |",
    ]
    for (procedure, step), counts in _counts(matrix).items():
        prerequisites = matrix.prerequisites_by_place.get((procedure, step), ())
        reached_by = (
            ", then ".join(f"{name} at `{at.value}`" for at, name in prerequisites)
            or "itself"
        )
        lines.append(
            f"| {procedure} | `{step}` | {reached_by} | {counts['passed']} "
            f"| {counts['failed']} | {counts['impossible']} |"
        )
    lines += ["", "## Faults", ""]
    lines += [f"- {name}" for name in FAULT_BY_NAME]
    lines += ["", "## Cells that failed", ""]
    lines += [_failure(result) for result in matrix.failed] or ["None."]
    lines += ["", "## Steps without a cell", ""]
    lines += [f"- `{step.value}`" for step in matrix.unreached] or ["None."]
    lines += ["", "## Procedures that were not run", ""]
    skipped = [name for name in PROCEDURE_BY_NAME if name not in matrix.procedures]
    lines += [f"- {name}" for name in skipped] or ["None."]
    lines += ["", "## Impossible cells", ""]
    reasons = Counter(
        f"{name}: {reason}" for (_, _, name), reason in matrix.impossible.items()
    )
    reasons.update(
        "pairs: the first fault kept the second step from being reached"
        for result in matrix.results
        if result.verdict == "impossible"
    )
    lines += [
        f"- {reason} ({count} cells)" for reason, count in sorted(reasons.items())
    ] or ["None."]
    return "\n".join(lines) + "\n"


def _failure(result: Result) -> str:
    return f"- {result.cell}: " + "; ".join(result.problems)


def _counts(matrix: MatrixResults) -> dict[tuple[str, str], Counter]:
    """Count the cells of each procedure and step; pairs are counted per procedure."""
    counts: dict[tuple[str, str], Counter] = {}
    for procedure, step in matrix.prerequisites_by_place:
        counts[procedure, step] = Counter()
    for result in matrix.results:
        place = _place(matrix, result)
        counts.setdefault(place, Counter())[result.verdict] += 1
    for procedure, step, _ in matrix.impossible:
        counts[procedure, step]["impossible"] += 1
    return counts


def _place(matrix: MatrixResults, result: Result) -> tuple[str, str]:
    if result.cell.is_pair:
        return result.cell.procedure, "pairs of faults"
    return result.cell.procedure, result.cell.injections[-1][0]


def _totals(matrix: MatrixResults) -> Counter:
    return sum(_counts(matrix).values(), Counter())
