"""How many calls a second reach the table when it returns after an hour."""

import heapq
import itertools
import random
from dataclasses import dataclass

from fireflyward.backing import Breaker, Budget
from fireflyward.bench import Bench, Figure

_CAPACITY_PER_S = 2_000
_ALLOWED_PER_S = 1_600
_AWAY_MS = 3_600_000
_WATCH_MS = 60_000
_TICK_MS = 100
_WANTED_IN_TICK = 2
_NODES = (9, 35, 350)


@dataclass(slots=True)
class _Node:
    breaker: Breaker
    budget: Budget


def _measure() -> list[Figure]:
    figures = []
    for nodes in _NODES:
        calls_by_second = _calls_after_return(nodes)
        unguarded = nodes * _WANTED_IN_TICK * 1_000 / _TICK_MS
        name = f"platform_return.nodes_{nodes}"
        figures += [
            Figure(f"{name}.most_calls_in_a_second", max(calls_by_second), "1/s"),
            Figure(f"{name}.to_capacity", max(calls_by_second) / _CAPACITY_PER_S, "×"),
            Figure(f"{name}.without_guard", unguarded, "1/s"),
            Figure(f"{name}.calls_while_away_per_node_s", _calls_while_away(), "1/s"),
        ]
    return figures


def _make_node(index: int, nodes: int) -> _Node:
    budget = Budget(per_second=_ALLOWED_PER_S, nodes=lambda: nodes)
    return _Node(Breaker(random.Random(index)), budget)


def _calls_after_return(nodes: int) -> list[int]:
    """Let every node want more than it may, and count what reaches the table."""
    items = [_make_node(index, nodes) for index in range(nodes)]
    for node in items:
        _stay_away(node)
    calls_by_second = [0] * (_WATCH_MS // 1_000 + 2)
    answers: list[tuple[int, int, _Node]] = []
    order = itertools.count()
    for passed_ms in range(0, _WATCH_MS, _TICK_MS):
        while answers and answers[0][0] <= passed_ms:
            at_ms, _, node = heapq.heappop(answers)
            _answer(node, at_ms)
        for node, _ in itertools.product(items, range(_WANTED_IN_TICK)):
            now_ms = _AWAY_MS + passed_ms
            if not node.breaker.may_call(now_ms):
                continue
            wait_ms = node.budget.reserve(now_ms)
            if wait_ms is not None:
                calls_by_second[(passed_ms + wait_ms) // 1_000] += 1
                heapq.heappush(answers, (passed_ms + wait_ms, next(order), node))
    return calls_by_second[: _WATCH_MS // 1_000]


def _answer(node: _Node, passed_ms: int) -> None:
    if node.breaker.on_success(_AWAY_MS + passed_ms):
        node.budget.begin_ramp(_AWAY_MS + passed_ms)


def _stay_away(node: _Node) -> int:
    """Let the last minutes of an outage pass; return how often the table is asked."""
    calls = 0
    for now_ms in range(_AWAY_MS - _WATCH_MS, _AWAY_MS, _TICK_MS):
        if node.breaker.may_call(now_ms):
            calls += 1
            node.breaker.on_failure(now_ms)
    return calls


def _calls_while_away() -> float:
    return _stay_away(_make_node(0, 1)) * 1_000 / _WATCH_MS


BENCH = Bench("platform_return", _measure, is_count=True)
