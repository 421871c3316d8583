"""Combines faults with steps; each cell runs in a small simulated deployment."""

import asyncio
import itertools
import logging
import random
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from unittest import mock

from fireflyward.steps import Step

from ._faults import FAULT_BY_NAME, IMPOSSIBLE
from ._procedures import PROCEDURE_BY_NAME, STORE_PROCEDURES
from ._simulation import ACCOUNTS, Simulation

_TIMEOUT_MS = 120_000
_TICK_MS = 200
_SETTLE_MS = 8_000

Injection = tuple[Step, str]


@dataclass(frozen=True, slots=True)
class Cell:
    """A procedure with faults, which are injected in order.

    Each fault is injected when its step is reached after the previous fault.
    """

    procedure: str
    injections: tuple[Injection, ...] = ()
    is_pair: bool = False

    def __str__(self) -> str:
        injections_text = ", ".join(
            f"{fault} at {step.value!r}" for step, fault in self.injections
        )
        return f"{self.procedure}: {injections_text or 'no fault'}"


@dataclass(slots=True)
class Result:
    """Result of a cell; ``steps`` are those reached after the last injected fault."""

    cell: Cell
    problems: tuple[str, ...] = ()
    not_injected: tuple[Injection, ...] = ()
    steps: set[Step] = field(default_factory=set)

    @property
    def verdict(self) -> str:
        """Return ``passed``, ``failed`` or, of pairs only, ``impossible``."""
        if self.problems:
            return "failed"
        return "impossible" if self.not_injected else "passed"


def run_cell(cell: Cell) -> Result:
    """Run one cell in an event loop of its own."""
    with deterministic_draws():
        return asyncio.run(_run(cell))


@contextmanager
def deterministic_draws() -> Iterator[None]:
    """Make every random draw deterministic, and silence the logs of faulty nodes."""
    seeds, uuids = itertools.count(), itertools.count(1)

    class Seeded(random.Random):
        def __init__(self, seed=None) -> None:
            super().__init__(next(seeds) if seed is None else seed)

    log = logging.getLogger("fireflyward")
    level = log.level
    log.setLevel(logging.CRITICAL + 1)
    with (
        mock.patch.object(random, "Random", Seeded),
        mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=next(uuids))),
    ):
        try:
            yield
        finally:
            log.setLevel(level)


async def _run(cell: Cell) -> Result:
    simulation = Simulation(has_stores=cell.procedure in STORE_PROCEDURES)
    result = Result(cell)
    pending_injections = list(cell.injections)

    def on_step(step: Step, process) -> None:
        if not pending_injections:
            result.steps.add(step)
        elif step is pending_injections[0][0]:
            _, name = pending_injections.pop(0)
            _inject(simulation, process, name)

    try:
        await simulation.start()
        simulation.on_step = on_step
        work = simulation.spawn(PROCEDURE_BY_NAME[cell.procedure](simulation))
        background = simulation.start_caller("background", ACCOUNTS[1])
        await _advance_until_done(simulation, work, background)
        if cell.injections:
            await simulation.clock.advance_ms(_SETTLE_MS)
        await _advance_until_done(
            simulation, simulation.start_caller("recovered", ACCOUNTS[1])
        )
        result.not_injected = tuple(pending_injections)
        result.problems = _collect_problems(simulation, work)
        if pending_injections and not cell.is_pair:
            result.problems += (
                f"{pending_injections[0][0].value!r} was never reached",
            )
    finally:
        await simulation.close()
    return result


def _inject(simulation: Simulation, process, name: str) -> None:
    fault = FAULT_BY_NAME[name]
    heal = fault.inject(simulation, process)
    simulation.report_reachability()
    if heal:
        simulation.spawn(_heal_after_delay(simulation, heal, fault.heal_ms))


async def _heal_after_delay(simulation: Simulation, heal, after_ms: int) -> None:
    await simulation.clock.sleep_ms(after_ms)
    heal()
    simulation.report_reachability()


async def _advance_until_done(simulation: Simulation, *tasks: asyncio.Task) -> None:
    deadline_ms = simulation.clock.now_ms() + _TIMEOUT_MS
    while (
        not all(task.done() for task in tasks)
        and simulation.clock.now_ms() < deadline_ms
    ):
        await simulation.clock.advance_ms(_TICK_MS)


def _collect_problems(simulation: Simulation, work: asyncio.Task) -> tuple[str, ...]:
    problems = [
        str(violation)
        for violation in simulation.checker.finish(simulation.clock.now_ms())
    ]
    if not work.done():
        problems.append("the procedure never ended")
    elif work.exception():
        problems.append(f"the procedure failed: {work.exception()!r}")
    return tuple(problems + simulation.errors)


def all_steps() -> set[Step]:
    """Return every step that is defined in the code."""
    return {step for kind in Step.__subclasses__() for step in kind}


def pick_pairs(singles: list[Result], seed: int, count: int) -> Iterator[Cell]:
    """Draw a second fault, from a fixed seed, for steps reached after a first fault."""
    rng = random.Random(seed)
    firsts = [result for result in singles if result.steps]
    for _ in range(count):
        first = rng.choice(firsts)
        cell = first.cell
        names = [
            name
            for name in sorted(FAULT_BY_NAME)
            if (name, cell.procedure) not in IMPOSSIBLE
        ]
        second = rng.choice(sorted(first.steps)), rng.choice(names)
        yield Cell(cell.procedure, (*cell.injections, second), is_pair=True)
