"""Measures how much a node retries while a third or all of its replicas fail."""

import asyncio

from fireflyward.bench import Bench, Figure
from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.runs import End, RetryBudget, RunTask
from fireflyward.standins import EngineCosts, EngineModel, MemoryEngine
from fireflyward.upstreams import Broken, EngineCall

_REPLICAS = 9
_FAILING_REPLICAS = 3
_REQUESTS = 300
_BETWEEN_REQUESTS_MS = 20
_FAULT_AFTER_REQUESTS = 60
_LOAD_POLL_MS = 250
_COSTS = EngineCosts(prefill_ms_per_token=0.5, decode_ms_per_token=5.0)
_FAULTS = ("unreachable", "paused", "cut_streams", "overloaded")


class _Node:
    """One node with nine replicas, some of which fail during the measurement."""

    def __init__(self, budget: RetryBudget) -> None:
        self.clock = ManualClock()
        self.budget = budget
        self.engine_by_name = {
            f"r{number}": MemoryEngine(EngineModel({"m": "v1"}, _COSTS), self.clock)
            for number in range(_REPLICAS)
        }
        self.router = Router("d", seed=1)
        self.router.set_replicas(
            [Candidate(name, "d", ("m",)) for name in self.engine_by_name]
        )
        self.answered = 0

    async def poll(self) -> None:
        while True:
            for name, engine in self.engine_by_name.items():
                report = await engine.load()
                if not isinstance(report, Broken):
                    self.router.on_report(self.clock.now_ms(), name, report)
            await self.clock.sleep_ms(_LOAD_POLL_MS)

    def fail(self, fault: str, replicas: int) -> None:
        for engine in list(self.engine_by_name.values())[:replicas]:
            if fault == "overloaded":
                engine.model.costs = EngineCosts(max_running=0, max_queued=0)
            elif fault == "cut_streams":
                engine.faults.cut_streams = _REQUESTS
            else:
                setattr(engine.faults, fault, True)

    async def send_request(self, number: int) -> None:
        run_id = f"run-{number}"
        task = RunTask(
            clock=self.clock,
            router=self.router,
            engine_by_name=self.engine_by_name,
            call=EngineCall(run_id, "m", "v1", "beam schedule?", 3),
            shape=RunShape("account", "m", "v1", 4, (), run_id),
            deadline_ms=self.clock.now_ms() + 20_000,
            budget=self.budget,
        )
        async for result in task.results():
            if isinstance(result, End):
                self.answered += isinstance(result.outcome, Answered)


async def _run_requests(
    fault: str, budget: RetryBudget, *, failing: int = _FAILING_REPLICAS
) -> tuple[float, float]:
    """Return the dispatches per request and the share of requests answered."""
    node = _Node(budget)
    poll = asyncio.ensure_future(node.poll())
    await node.clock.advance_ms(1)
    tasks = []
    for number in range(_REQUESTS):
        if number == _FAULT_AFTER_REQUESTS:
            node.fail(fault, failing)
        tasks.append(asyncio.ensure_future(node.send_request(number)))
        await node.clock.advance_ms(_BETWEEN_REQUESTS_MS)
    await node.clock.advance_ms(21_000)
    await asyncio.gather(*tasks)
    poll.cancel()
    dispatches = sum(engine.dispatches for engine in node.engine_by_name.values())
    return dispatches / _REQUESTS, node.answered / _REQUESTS


def _run() -> list[Figure]:
    figures = []
    for fault in _FAULTS:
        result = asyncio.run(_run_requests(fault, RetryBudget(seed=1)))
        figures += _figures(f"a_third_{fault}", result)
    budgets = {"all_overloaded": RetryBudget(seed=1), "no_budget": _unbounded()}
    for name, budget in budgets.items():
        result = asyncio.run(_run_requests("overloaded", budget, failing=_REPLICAS))
        figures += _figures(name, result)
    return figures


def _figures(name: str, result: tuple[float, float]) -> list[Figure]:
    amplification, answered = result
    return [
        Figure(f"run_retries.{name}.amplification", amplification, "×"),
        Figure(f"run_retries.{name}.answered", answered, "share"),
    ]


def _unbounded() -> RetryBudget:
    return RetryBudget(share=1_000.0, capacity=1e9, seed=1)


BENCH = Bench("run_retries", _run, is_count=True)
