"""Measures how long a run takes to detect a lost upstream and to resume on another."""

import asyncio

from fireflyward.bench import Bench, Figure
from fireflyward.clock import ManualClock
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.runs import Deliver, RetryBudget, RunTask
from fireflyward.standins import EngineCosts, EngineModel, MemoryEngine
from fireflyward.upstreams import EngineCall

_COSTS = EngineCosts(prefill_ms_per_token=10.0, decode_ms_per_token=10.0)
_FAULT_AT_MS = 75
_TOKENS = 20
# The fault, and whether it begins before the request is sent or during the stream.
_CASES = {
    "dead": ("unreachable", False),
    "paused": ("paused", False),
    "connection_silent": ("silent_streams", False),
    "request_into_silence": ("lost_requests", True),
    "answer_into_silence": ("lost_answers", True),
}


async def _longest_pause_ms(fault: str, *, fault_first: bool) -> int:
    """Return the longest pause between two pieces or before the first piece."""
    clock = ManualClock()
    engine_by_name = {
        name: MemoryEngine(EngineModel({"m": "v1"}, _COSTS), clock) for name in "ab"
    }
    router = Router("d", seed=1)
    router.set_replicas([Candidate("a", "d", ("m",), {"m": "v1"})])
    task = RunTask(
        clock=clock,
        router=router,
        engine_by_name=engine_by_name,
        call=EngineCall("run", "m", "v1", "beam schedule?", _TOKENS),
        shape=RunShape("account", "m", "v1", 4, (), "run"),
        deadline_ms=60_000,
        budget=RetryBudget(seed=1),
    )
    times_ms = [0]

    async def read() -> None:
        async for result in task.results():
            if isinstance(result, Deliver):
                times_ms.append(clock.now_ms())

    if fault_first:
        setattr(engine_by_name["a"].faults, fault, 1)
    reader = asyncio.ensure_future(read())
    await clock.advance_ms(_FAULT_AT_MS)
    router.set_replicas([Candidate(x, "d", ("m",), {"m": "v1"}) for x in "ab"])
    if not fault_first:
        setattr(engine_by_name["a"].faults, fault, 1)
    await clock.advance_ms(20_000)
    await reader
    return max(
        after - before for before, after in zip(times_ms, times_ms[1:], strict=False)
    )


def _run() -> list[Figure]:
    return [
        Figure(
            f"run_detection.{name}.longest_pause_ms",
            asyncio.run(_longest_pause_ms(fault, fault_first=fault_first)),
            "ms",
        )
        for name, (fault, fault_first) in _CASES.items()
    ]


BENCH = Bench("run_detection", _run, is_count=True)
