"""Nodes that choose replicas, on a faked clock: the ground of two measurements.

Engines are ``EngineModel`` in memory. Each node has a router of its own, hears of
load only by reports that were old when they came, and knows nothing of what other
nodes send. Times are milliseconds that no clock measured.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.standins import ChunkedEngineModel, EngineCosts, EngineModel
from fireflyward.standins._engine_model import EngineRun
from fireflyward.upstreams import (
    BLOCK_TOKENS,
    Accepted,
    EngineCall,
    EngineEvent,
    LoadReport,
    Piece,
)

MODEL = "m"
VERSION = "v1"
# What ``LoadSharing`` takes with two or three nodes in a domain.
_POLL_MS = 600
_WARM_SHARE = 0.25
_BYTES_PER_TOKEN = 4
_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class Shape:
    """A deployment: the domain of each node and replica, and the way between."""

    name: str
    node_domains: tuple[str, ...]
    replica_domains: tuple[str, ...]
    one_way_ms: float
    lag_ms: tuple[int, int]


ANDINOS = Shape(
    "andinos",
    ("norte", "norte", "norte", "centro", "centro", "centro", "sur", "sur"),
    ("norte", "norte", "centro", "centro", "sur", "sur"),
    0.5,
    (50, 250),
)
NOTA_BIRLIK = Shape(
    "nota_birlik",
    ("ikitelli-a", "ikitelli-a", "ikitelli-b", "ikitelli-b")
    + ("gebze-1", "gebze-1", "kartal-1", "kartal-1"),
    ("ikitelli-a", "ikitelli-a", "ikitelli-b", "gebze-1", "kartal-1"),
    1.5,
    (100, 1_000),
)
COSTS = EngineCosts(cache_blocks=1_024, max_queued=1_000_000)
# What the replicas of a deployment finish in a second at saturation with the better
# baseline, from ``fireflyward bench routing_loads``: new prompts, returning ones.
CAPACITY_BY_SHAPE = {"andinos": (53.0, 145.0), "nota_birlik": (44.0, 120.0)}


@dataclass(frozen=True, slots=True)
class Request:
    """One prompt as it arrives at a node."""

    at_ms: float
    node: int
    account: str
    prompt_tokens: int
    max_tokens: int
    block_keys: tuple[str, ...]


class Balancer(Protocol):
    """What a node asks for a replica, and tells of what came of it."""

    def choose(self, now_ms: int, shape: RunShape) -> str | None: ...

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None: ...

    def on_start(self, name: str) -> None: ...

    def on_event(
        self, now_ms: int, name: str, run_id: str, event: EngineEvent
    ) -> None: ...

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None: ...


class RoundRobin:
    """The first baseline: replicas in turn."""

    def __init__(self, names: list[str], seed: int) -> None:
        start = random.Random(seed).randrange(len(names))
        self._turn = itertools.islice(itertools.cycle(names), start, None)

    def choose(self, now_ms: int, shape: RunShape) -> str:
        return next(self._turn)

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None: ...

    def on_start(self, name: str) -> None: ...

    def on_event(
        self, now_ms: int, name: str, run_id: str, event: EngineEvent
    ) -> None: ...

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None: ...


class LeastConnections(RoundRobin):
    """The second baseline: the replica with the fewest own runs, ties at random."""

    def __init__(self, names: list[str], seed: int) -> None:
        super().__init__(names, seed)
        self._random = random.Random(seed)
        self._runs_by_name = dict.fromkeys(names, 0)

    def choose(self, now_ms: int, shape: RunShape) -> str:
        least = min(self._runs_by_name.values())
        names = [name for name, runs in self._runs_by_name.items() if runs == least]
        return self._random.choice(names)

    def on_start(self, name: str) -> None:
        self._runs_by_name[name] += 1

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None:
        self._runs_by_name[name] -= 1


@dataclass(slots=True)
class Result:
    """What came of a stream of requests."""

    first_token_ms: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    computed_tokens: int = 0
    per_second: float = 0.0

    def quantile_ms(self, share: float) -> float:
        """Return the time to first token that ``share`` of the runs had."""
        ordered = sorted(self.first_token_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(slots=True)
class _Engine:
    model: EngineModel
    unstarted: list[tuple[int, str, EngineRun]] = field(default_factory=list)
    wakes_at_ms: float = math.inf


class Balancing:
    """Plays requests against replicas under one kind of balancer."""

    def __init__(
        self,
        shape: Shape,
        make: Callable[[Shape, int], Balancer],
        *,
        costs: EngineCosts = COSTS,
        seed: int = 1,
        chunked: bool = False,
    ) -> None:
        model = ChunkedEngineModel if chunked else EngineModel
        self._shape = shape
        self._engine_by_name = {
            name: _Engine(model({MODEL: VERSION}, costs))
            for name in replica_names(shape)
        }
        self._balancers = [make(shape, node) for node in range(len(shape.node_domains))]
        self._domain_by_name = dict(
            zip(replica_names(shape), shape.replica_domains, strict=True)
        )
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._runs: list[tuple[Request, float, EngineRun]] = []

    def run(self, requests: list[Request]) -> Result:
        """Serve every request to its end and return what callers saw."""
        last_ms = requests[-1].at_ms
        for node in range(len(self._balancers)):
            self._poll(0.0, node, until_ms=0.0)
            phase_ms = _POLL_MS * (node + 1) / len(self._balancers)
            self._at(phase_ms, self._poll, node, last_ms)
        for number, request in enumerate(requests):
            self._at(request.at_ms, self._arrive, request, f"run-{number}")
        while self._events:
            now_ms, _, act, arguments = heapq.heappop(self._events)
            act(now_ms, *arguments)
            self._notice_starts(now_ms)
        return self._result()

    @property
    def runs(self) -> list[EngineRun]:
        """The runs that replicas took."""
        return [run for _, _, run in self._runs]

    def _at(self, at_ms: float, act: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), act, arguments))

    def _poll(self, now_ms: float, node: int, until_ms: float) -> None:
        low, high = self._shape.lag_ms
        for name, engine in self._engine_by_name.items():
            lag_ms = self._random.randint(low, high) if until_ms else 0
            report = replace(engine.model.report(now_ms), age_ms=lag_ms)
            self._at(now_ms + lag_ms, self._report, node, name, report)
        if now_ms < until_ms:
            self._at(now_ms + _POLL_MS, self._poll, node, until_ms)

    def _report(self, now_ms: float, node: int, name: str, report: LoadReport) -> None:
        self._balancers[node].on_report(int(now_ms), name, report)

    def _arrive(self, now_ms: float, request: Request, run_id: str) -> None:
        balancer = self._balancers[request.node]
        shape = RunShape(
            request.account,
            MODEL,
            VERSION,
            request.prompt_tokens,
            request.block_keys,
            run_id,
        )
        name = balancer.choose(int(now_ms), shape)
        assert name is not None, "every replica is able here"
        balancer.on_start(name)
        way_ms = self._way_ms(request.node, name)
        self._at(now_ms + way_ms, self._submit, request, run_id, name)

    def _submit(self, now_ms: float, request: Request, run_id: str, name: str) -> None:
        engine = self._engine_by_name[name]
        prompt = "x" * (request.prompt_tokens * _BYTES_PER_TOKEN)
        call = EngineCall(
            run_id,
            MODEL,
            VERSION,
            prompt,
            request.max_tokens,
            priority=self._priority(run_id),
            block_keys=request.block_keys,
        )
        result = engine.model.submit(now_ms, call)
        assert isinstance(result, Accepted), result
        self._balancers[request.node].on_event(int(now_ms), name, run_id, result)
        run = engine.model.run_by_id[run_id]
        self._runs.append((request, self._way_ms(request.node, name), run))
        engine.unstarted.append((request.node, run_id, run))

    def _priority(self, run_id: str) -> int:
        return _PRIORITY

    def _notice_starts(self, now_ms: float) -> None:
        for name, engine in self._engine_by_name.items():
            if not engine.unstarted:
                continue
            engine.model.advance(now_ms)
            started = [item for item in engine.unstarted if item[2].first_token_ms >= 0]
            if started:
                engine.unstarted = [
                    item for item in engine.unstarted if item[2].first_token_ms < 0
                ]
            for node, run_id, run in started:
                self._expect(now_ms, node, name, run_id, run)
            self._wake_later(now_ms, engine)

    def _wake_later(self, now_ms: float, engine: _Engine) -> None:
        """Look again when a chunk of a prefill ends."""
        if not isinstance(engine.model, ChunkedEngineModel) or not engine.unstarted:
            return
        next_ms = engine.model.next_ms()
        if engine.wakes_at_ms <= now_ms or next_ms < engine.wakes_at_ms:
            engine.wakes_at_ms = next_ms
            self._at(next_ms, self._wake)

    def _wake(self, now_ms: float) -> None:
        """Do nothing: what has started is noticed after every event."""

    def _expect(
        self, now_ms: float, node: int, name: str, run_id: str, run: EngineRun
    ) -> None:
        way_ms = self._way_ms(node, name)
        costs = self._engine_by_name[name].model.costs
        first_ms = max(now_ms, run.first_token_ms + way_ms)
        end_ms = max(now_ms, run.end_ms(costs.decode_ms_per_token) + way_ms)
        self._at(first_ms, self._first_token, node, name, run_id)
        self._at(end_ms, self._end, node, name, run_id)

    def _first_token(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        balancer = self._balancers[node]
        balancer.on_event(int(now_ms), name, run_id, Piece(0, 1, ""))

    def _end(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        self._balancers[node].on_end(int(now_ms), name, failed=False)

    def _way_ms(self, node: int, name: str) -> float:
        here = self._shape.node_domains[node]
        there = self._domain_by_name[name]
        return 0.0 if here == there else self._shape.one_way_ms

    def _result(self) -> Result:
        """Sum up all runs but the first quarter, during which caches fill."""
        counted = self._runs[int(len(self._runs) * _WARM_SHARE) :]
        result = Result()
        for request, way_ms, run in counted:
            waited_ms = run.first_token_ms + way_ms - request.at_ms
            result.first_token_ms.append(waited_ms)
            result.prompt_tokens += run.prompt_tokens
            result.computed_tokens += run.prompt_tokens - run.cached_tokens
        times = sorted(run.first_token_ms for _, _, run in counted)
        middle = times[len(times) // 10 : -len(times) // 10]
        result.per_second = 1_000 * len(middle) / (middle[-1] - middle[0])
        return result


def replica_names(shape: Shape) -> list[str]:
    """Return the names of a deployment's replicas."""
    return [f"replica-{index}" for index in range(len(shape.replica_domains))]


def make_router(shape: Shape, node: int) -> Router:
    """Return this project's router for a node."""
    router = Router(shape.node_domains[node], seed=node)
    router.set_replicas(
        [
            Candidate(name, domain, (MODEL,))
            for name, domain in zip(
                replica_names(shape), shape.replica_domains, strict=True
            )
        ]
    )
    return router


def make_round_robin(shape: Shape, node: int) -> RoundRobin:
    """Return the first baseline for a node."""
    return RoundRobin(replica_names(shape), node)


def make_least_connections(shape: Shape, node: int) -> LeastConnections:
    """Return the second baseline for a node."""
    return LeastConnections(replica_names(shape), node)


def make_requests(
    shape: Shape, *, count: int, per_second: float, reuse: bool, seed: int
) -> list[Request]:
    """Return prompts of ten accounts, three of them large, at random times.

    With ``reuse`` each account has shared clauses of 1,024 tokens and sessions
    that return with another short question; without it every prompt is new.
    """
    chance = random.Random(seed)
    requests = []
    at_ms = 0.0
    for _ in range(count):
        at_ms += chance.expovariate(per_second / 1_000)
        account = f"account-{min(9, int(chance.expovariate(0.4)))}"
        session = chance.randrange(24)
        session_tokens = 256 * (1 + int(_hash(account, session) * 8))
        question = chance.randrange(16, 128)
        tokens = 1_024 + session_tokens + question
        requests.append(
            Request(
                at_ms,
                chance.randrange(len(shape.node_domains)),
                account,
                tokens,
                chance.randrange(16, 48),
                _block_keys(account, session, session_tokens) if reuse else (),
            )
        )
    return requests


def _hash(account: str, session: int) -> float:
    return random.Random(f"{account}/{session}").random()


def _block_keys(account: str, session: int, session_tokens: int) -> tuple[str, ...]:
    shared = [f"{account}/clauses/{index}" for index in range(1_024 // BLOCK_TOKENS)]
    own = [
        f"{account}/{session}/{index}"
        for index in range(session_tokens // BLOCK_TOKENS)
    ]
    return (*shared, *own)
