"""Crosses faults with steps, one small world for each cell."""

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
from ._simulation import ACCOUNTS, World

_LIMIT_MS = 120_000
_TICK_MS = 200
_SETTLE_MS = 8_000

Struck = tuple[Step, str]


@dataclass(frozen=True, slots=True)
class Cell:
    """Faults that strike in turn, each when its step is next reached."""

    procedure: str
    strikes: tuple[Struck, ...] = ()
    is_pair: bool = False

    def __str__(self) -> str:
        struck = ", ".join(f"{fault} at {step.value!r}" for step, fault in self.strikes)
        return f"{self.procedure}: {struck or 'no fault'}"


@dataclass(slots=True)
class Result:
    """What came of a cell; ``steps`` are those reached after the last strike."""

    cell: Cell
    problems: tuple[str, ...] = ()
    unstruck: tuple[Struck, ...] = ()
    steps: set[Step] = field(default_factory=set)

    @property
    def verdict(self) -> str:
        """Return ``passed``, ``failed`` or, of pairs only, ``impossible``."""
        if self.problems:
            return "failed"
        return "impossible" if self.unstruck else "passed"


def run_cell(cell: Cell) -> Result:
    """Run one cell in an event loop of its own."""
    with repeatable():
        return asyncio.run(_run(cell))


@contextmanager
def repeatable() -> Iterator[None]:
    """Have every draw come out the same, and keep logs of hurt nodes away."""
    seeds, names = itertools.count(), itertools.count(1)

    class Seeded(random.Random):
        def __init__(self, seed=None) -> None:
            super().__init__(next(seeds) if seed is None else seed)

    log = logging.getLogger("fireflyward")
    level = log.level
    log.setLevel(logging.CRITICAL + 1)
    with (
        mock.patch.object(random, "Random", Seeded),
        mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=next(names))),
    ):
        try:
            yield
        finally:
            log.setLevel(level)


async def _run(cell: Cell) -> Result:
    world = World(has_stores=cell.procedure in STORE_PROCEDURES)
    result = Result(cell)
    waiting = list(cell.strikes)

    def on_step(step: Step, process) -> None:
        if not waiting:
            result.steps.add(step)
        elif step is waiting[0][0]:
            _, name = waiting.pop(0)
            _strike(world, process, name)

    try:
        await world.begin()
        world.on_step = on_step
        work = world.spawn(PROCEDURE_BY_NAME[cell.procedure](world))
        background = world.ask("background", ACCOUNTS[1])
        await _advance(world, work, background)
        if cell.strikes:
            await world.clock.advance_ms(_SETTLE_MS)
        await _advance(world, world.ask("recovered", ACCOUNTS[1]))
        result.unstruck = tuple(waiting)
        result.problems = _problems(world, work)
        if waiting and not cell.is_pair:
            result.problems += (f"{waiting[0][0].value!r} was never reached",)
    finally:
        await world.end()
    return result


def _strike(world: World, process, name: str) -> None:
    fault = FAULT_BY_NAME[name]
    heal = fault.strike(world, process)
    world.see_reachable()
    if heal:
        world.spawn(_heal_later(world, heal, fault.heal_ms))


async def _heal_later(world: World, heal, after_ms: int) -> None:
    await world.clock.sleep_ms(after_ms)
    heal()
    world.see_reachable()


async def _advance(world: World, *tasks: asyncio.Task) -> None:
    limit_ms = world.clock.now_ms() + _LIMIT_MS
    while not all(task.done() for task in tasks) and world.clock.now_ms() < limit_ms:
        await world.clock.advance_ms(_TICK_MS)


def _problems(world: World, work: asyncio.Task) -> tuple[str, ...]:
    problems = [str(found) for found in world.checker.finish(world.clock.now_ms())]
    if not work.done():
        problems.append("the procedure never ended")
    elif work.exception():
        problems.append(f"the procedure failed: {work.exception()!r}")
    return tuple(problems + world.errors)


def all_steps() -> set[Step]:
    """Return every step that the code names."""
    return {step for kind in Step.__subclasses__() for step in kind}


def pick_pairs(singles: list[Result], seed: int, count: int) -> Iterator[Cell]:
    """Draw second faults, from a fixed seed, for steps that come after a first."""
    drawn = random.Random(seed)
    firsts = [result for result in singles if result.steps]
    for _ in range(count):
        first = drawn.choice(firsts)
        cell = first.cell
        names = [
            name
            for name in sorted(FAULT_BY_NAME)
            if (name, cell.procedure) not in IMPOSSIBLE
        ]
        second = drawn.choice(sorted(first.steps)), drawn.choice(names)
        yield Cell(cell.procedure, (*cell.strikes, second), is_pair=True)
