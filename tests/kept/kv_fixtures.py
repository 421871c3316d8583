"""Stores and engines in memory for the tests of stored KV blocks."""

from dataclasses import dataclass

from fireflyward.clock import ManualClock
from fireflyward.standins import (
    EngineCosts,
    EngineKv,
    EngineModel,
    MemoryStore,
    StoreCosts,
    StoreModel,
)

MODEL = "m"
VERSION = "v1"
KEYS = tuple(f"{number:032x}" for number in range(1, 13))
FAST = StoreCosts(memory_slots=8, disk_slots=8, block_bytes=1_000)


class KvWorld:
    """One engine and two stores on one clock."""

    def __init__(self, costs: StoreCosts = FAST, cache_blocks: int = 64) -> None:
        self.clock = ManualClock()
        self.store_by_name = {
            name: MemoryStore(StoreModel(name, costs), self.clock)
            for name in ("s1", "s2")
        }
        self.engine = EngineModel(
            {MODEL: VERSION}, EngineCosts(cache_blocks=cache_blocks)
        )
        self.kv = EngineKv(
            self.engine, self.clock, lambda name, url: self.store_by_name[name], 0.0
        )

    def other_engine(self) -> EngineKv:
        """Return the KV calls of a second engine with an empty cache."""
        model = EngineModel({MODEL: VERSION})
        return EngineKv(
            model, self.clock, lambda name, url: self.store_by_name[name], 0.0
        )

    def compute(self, keys: tuple[str, ...] = KEYS) -> None:
        """Put these blocks into the engine's cache, as a run would."""
        for position, key in enumerate(keys, start=1):
            self.engine.cache.store(key, position)

    async def advance_until(self, task, step_ms: float = 1.0, steps: int = 5_000):
        """Advance the clock until a task is done, and return its result."""
        for _ in range(steps):
            if task.done():
                return task.result()
            await self.clock.advance_ms(step_ms)
        raise AssertionError("the task did not end")


class ProcessCrashed(Exception):
    """Raised by an observer to simulate a crash of the process."""


def crash_at(crash_step):
    """Return an observer that raises ``ProcessCrashed`` at a step."""

    def observe(step):
        if step is crash_step:
            raise ProcessCrashed(step)

    return observe


@dataclass(frozen=True, slots=True)
class FakeLease:
    """A lease with its fencing number."""

    fencing: int


@dataclass(slots=True)
class FixedLimit:
    """A time limit of an import that is not extended."""

    at_ms: float
    blocks: int = 0

    def abort_at_ms(self) -> float:
        return self.at_ms

    def on_blocks(self, blocks: int) -> None:
        self.blocks += blocks
