"""Stores and engines in memory, as the tests of kept work need them."""

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
        """Have the engine hold these blocks, as after a run."""
        for position, key in enumerate(keys, start=1):
            self.engine.cache.store(key, position)

    async def advance_until(self, task, step_ms: float = 1.0, steps: int = 5_000):
        """Move time on until a task is done, and return its result."""
        for _ in range(steps):
            if task.done():
                return task.result()
            await self.clock.advance_ms(step_ms)
        raise AssertionError("the task never ended")


class ProcessDied(Exception):
    """Raised by an observer in place of the process's death."""


def die_at(fatal):
    """Return an observer that ends the procedure at a step."""

    def observe(step):
        if step is fatal:
            raise ProcessDied(step)

    return observe


@dataclass(frozen=True, slots=True)
class Held:
    """A lease that is held, with its fencing number."""

    fencing: int


@dataclass(slots=True)
class Until:
    """An import's limit that does not move."""

    at_ms: float
    blocks: int = 0

    def abort_at_ms(self) -> float:
        return self.at_ms

    def on_blocks(self, blocks: int) -> None:
        self.blocks += blocks
