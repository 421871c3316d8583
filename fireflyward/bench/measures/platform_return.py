"""Measures the table calls per second after an hour in which it was unavailable."""

import heapq
import itertools
import random
from dataclasses import dataclass

from fireflyward.backing import Breaker, Budget
from fireflyward.bench import Bench, Figure

_CAPACITY_PER_S = 2_000
_BUDGET_PER_S = 1_600
_OUTAGE_MS = 3_600_000
_OBSERVED_MS = 60_000
_TICK_MS = 100
_WANTED_CALLS_PER_TICK = 2
_NODES = (9, 35, 350)


@dataclass(slots=True)
class _Node:
    breaker: Breaker
    budget: Budget


def _measure() -> list[Figure]:
    figures = []
    for nodes in _NODES:
        calls_by_second = _calls_after_return(nodes)
        unguarded = nodes * _WANTED_CALLS_PER_TICK * 1_000 / _TICK_MS
        name = f"platform_return.nodes_{nodes}"
        figures += [
            Figure(f"{name}.most_calls_in_a_second", max(calls_by_second), "1/s"),
            Figure(f"{name}.to_capacity", max(calls_by_second) / _CAPACITY_PER_S, "×"),
            Figure(f"{name}.without_guard", unguarded, "1/s"),
            Figure(
                f"{name}.calls_while_away_per_node_s", _calls_during_outage(), "1/s"
            ),
        ]
    return figures


def _make_node(index: int, nodes: int) -> _Node:
    budget = Budget(per_second=_BUDGET_PER_S, nodes=lambda: nodes)
    return _Node(Breaker(random.Random(index)), budget)


def _calls_after_return(nodes: int) -> list[int]:
    """Count the calls in each second while every node wants more than its budget."""
    all_nodes = [_make_node(index, nodes) for index in range(nodes)]
    for node in all_nodes:
        _run_outage(node)
    calls_by_second = [0] * (_OBSERVED_MS // 1_000 + 2)
    answers: list[tuple[int, int, _Node]] = []
    order = itertools.count()
    for since_return_ms in range(0, _OBSERVED_MS, _TICK_MS):
        while answers and answers[0][0] <= since_return_ms:
            at_ms, _, node = heapq.heappop(answers)
            _on_answer(node, at_ms)
        for node, _ in itertools.product(all_nodes, range(_WANTED_CALLS_PER_TICK)):
            now_ms = _OUTAGE_MS + since_return_ms
            if not node.breaker.may_call(now_ms):
                continue
            wait_ms = node.budget.reserve(now_ms)
            if wait_ms is not None:
                calls_by_second[(since_return_ms + wait_ms) // 1_000] += 1
                heapq.heappush(answers, (since_return_ms + wait_ms, next(order), node))
    return calls_by_second[: _OBSERVED_MS // 1_000]


def _on_answer(node: _Node, since_return_ms: int) -> None:
    if node.breaker.on_success(_OUTAGE_MS + since_return_ms):
        node.budget.begin_ramp(_OUTAGE_MS + since_return_ms)


def _run_outage(node: _Node) -> int:
    """Simulate the last minute of an outage and return the number of table calls."""
    calls = 0
    for now_ms in range(_OUTAGE_MS - _OBSERVED_MS, _OUTAGE_MS, _TICK_MS):
        if node.breaker.may_call(now_ms):
            calls += 1
            node.breaker.on_failure(now_ms)
    return calls


def _calls_during_outage() -> float:
    return _run_outage(_make_node(0, 1)) * 1_000 / _OBSERVED_MS


BENCH = Bench("platform_return", _measure, is_count=True)
