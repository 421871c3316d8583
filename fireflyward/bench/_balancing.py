"""Simulates nodes that choose replicas, for the measurements of routing and limits.

The engines are ``EngineModel`` objects in memory. Each node has its own router. It
receives load reports only after a delay, and it does not know which requests the
other nodes send. All times are simulated milliseconds.
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
# The interval of ``LoadSharing`` with two or three nodes in a domain.
_POLL_INTERVAL_MS = 600
_WARM_UP_SHARE = 0.25
_BYTES_PER_TOKEN = 4
_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """The failure domain of each node and replica, and the delays between them."""

    name: str
    node_domains: tuple[str, ...]
    replica_domains: tuple[str, ...]
    one_way_ms: float
    report_delay_ms: tuple[int, int]


ANDINOS = DeploymentShape(
    "andinos",
    ("norte", "norte", "norte", "centro", "centro", "centro", "sur", "sur"),
    ("norte", "norte", "centro", "centro", "sur", "sur"),
    0.5,
    (50, 250),
)
NOTA_BIRLIK = DeploymentShape(
    "nota_birlik",
    ("ikitelli-a", "ikitelli-a", "ikitelli-b", "ikitelli-b")
    + ("gebze-1", "gebze-1", "kartal-1", "kartal-1"),
    ("ikitelli-a", "ikitelli-a", "ikitelli-b", "gebze-1", "kartal-1"),
    1.5,
    (100, 1_000),
)
COSTS = EngineCosts(cache_blocks=1_024, max_queued=1_000_000)
# Requests per second that all replicas of a deployment finish at saturation with the
# better baseline, for new and for returning prompts. The figures come from
# ``fireflyward bench routing_loads``.
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
    """Chooses a replica for each request of a node and observes the run."""

    def choose(self, now_ms: int, shape: RunShape) -> str | None: ...

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None: ...

    def on_start(self, name: str) -> None: ...

    def on_event(
        self, now_ms: int, name: str, run_id: str, event: EngineEvent
    ) -> None: ...

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None: ...


class RoundRobin:
    """The first baseline: chooses the replicas in turn."""

    def __init__(self, names: list[str], seed: int) -> None:
        start = random.Random(seed).randrange(len(names))
        self._names_in_turn = itertools.islice(itertools.cycle(names), start, None)

    def choose(self, now_ms: int, shape: RunShape) -> str:
        return next(self._names_in_turn)

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None: ...

    def on_start(self, name: str) -> None: ...

    def on_event(
        self, now_ms: int, name: str, run_id: str, event: EngineEvent
    ) -> None: ...

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None: ...


class LeastConnections(RoundRobin):
    """The second baseline: chooses the replica on which this node has the fewest runs.

    Ties are broken at random.
    """

    def __init__(self, names: list[str], seed: int) -> None:
        super().__init__(names, seed)
        self._random = random.Random(seed)
        self._runs_by_name = dict.fromkeys(names, 0)

    def choose(self, now_ms: int, shape: RunShape) -> str:
        fewest = min(self._runs_by_name.values())
        names = [name for name, runs in self._runs_by_name.items() if runs == fewest]
        return self._random.choice(names)

    def on_start(self, name: str) -> None:
        self._runs_by_name[name] += 1

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None:
        self._runs_by_name[name] -= 1


@dataclass(slots=True)
class Result:
    """Latencies and token counts of a stream of requests."""

    first_token_ms: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    computed_tokens: int = 0
    per_second: float = 0.0

    def quantile_ms(self, share: float) -> float:
        """Return the quantile of the time to first token, such as 0.95 for the p95."""
        ordered = sorted(self.first_token_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(slots=True)
class _Engine:
    model: EngineModel
    unstarted: list[tuple[int, str, EngineRun]] = field(default_factory=list)
    wake_at_ms: float = math.inf


class BalancingSimulation:
    """Runs requests on simulated replicas with one kind of balancer at every node."""

    def __init__(
        self,
        shape: DeploymentShape,
        make_balancer: Callable[[DeploymentShape, int], Balancer],
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
        self._balancers = [
            make_balancer(shape, node) for node in range(len(shape.node_domains))
        ]
        self._domain_by_name = dict(
            zip(replica_names(shape), shape.replica_domains, strict=True)
        )
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()
        self._runs: list[tuple[Request, float, EngineRun]] = []

    def run(self, requests: list[Request]) -> Result:
        """Run every request until it ends and return the latencies and token counts."""
        last_ms = requests[-1].at_ms
        for node in range(len(self._balancers)):
            self._poll(0.0, node, until_ms=0.0)
            phase_ms = _POLL_INTERVAL_MS * (node + 1) / len(self._balancers)
            self._schedule(phase_ms, self._poll, node, last_ms)
        for number, request in enumerate(requests):
            self._schedule(request.at_ms, self._on_arrival, request, f"run-{number}")
        while self._events:
            now_ms, _, handler, arguments = heapq.heappop(self._events)
            handler(now_ms, *arguments)
            self._detect_starts(now_ms)
        return self._result()

    @property
    def runs(self) -> list[EngineRun]:
        """Return the runs that the replicas accepted."""
        return [run for _, _, run in self._runs]

    def _schedule(
        self, at_ms: float, handler: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), handler, arguments))

    def _poll(self, now_ms: float, node: int, until_ms: float) -> None:
        min_delay_ms, max_delay_ms = self._shape.report_delay_ms
        for name, engine in self._engine_by_name.items():
            report_delay_ms = (
                self._random.randint(min_delay_ms, max_delay_ms) if until_ms else 0
            )
            report = replace(engine.model.report(now_ms), age_ms=report_delay_ms)
            self._schedule(
                now_ms + report_delay_ms, self._on_report, node, name, report
            )
        if now_ms < until_ms:
            self._schedule(now_ms + _POLL_INTERVAL_MS, self._poll, node, until_ms)

    def _on_report(
        self, now_ms: float, node: int, name: str, report: LoadReport
    ) -> None:
        self._balancers[node].on_report(int(now_ms), name, report)

    def _on_arrival(self, now_ms: float, request: Request, run_id: str) -> None:
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
        assert name is not None, "every replica serves the model"
        balancer.on_start(name)
        delay_ms = self._network_delay_ms(request.node, name)
        self._schedule(now_ms + delay_ms, self._submit, request, run_id, name)

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
        self._runs.append((request, self._network_delay_ms(request.node, name), run))
        engine.unstarted.append((request.node, run_id, run))

    def _priority(self, run_id: str) -> int:
        return _PRIORITY

    def _detect_starts(self, now_ms: float) -> None:
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
                self._schedule_progress(now_ms, node, name, run_id, run)
            self._schedule_wake(now_ms, engine)

    def _schedule_wake(self, now_ms: float, engine: _Engine) -> None:
        """Schedule an event for the time at which the next prefill chunk ends."""
        if not isinstance(engine.model, ChunkedEngineModel) or not engine.unstarted:
            return
        next_ms = engine.model.next_ms()
        if engine.wake_at_ms <= now_ms or next_ms < engine.wake_at_ms:
            engine.wake_at_ms = next_ms
            self._schedule(next_ms, self._wake)

    def _wake(self, now_ms: float) -> None:
        """Do nothing: ``run`` calls ``_detect_starts`` after every event."""

    def _schedule_progress(
        self, now_ms: float, node: int, name: str, run_id: str, run: EngineRun
    ) -> None:
        delay_ms = self._network_delay_ms(node, name)
        costs = self._engine_by_name[name].model.costs
        first_ms = max(now_ms, run.first_token_ms + delay_ms)
        end_ms = max(now_ms, run.end_ms(costs.decode_ms_per_token) + delay_ms)
        self._schedule(first_ms, self._on_first_token, node, name, run_id)
        self._schedule(end_ms, self._on_end, node, name, run_id)

    def _on_first_token(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        balancer = self._balancers[node]
        balancer.on_event(int(now_ms), name, run_id, Piece(0, 1, ""))

    def _on_end(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        self._balancers[node].on_end(int(now_ms), name, failed=False)

    def _network_delay_ms(self, node: int, name: str) -> float:
        node_domain = self._shape.node_domains[node]
        replica_domain = self._domain_by_name[name]
        return 0.0 if node_domain == replica_domain else self._shape.one_way_ms

    def _result(self) -> Result:
        """Summarize all runs but the first quarter, during which the caches fill."""
        counted = self._runs[int(len(self._runs) * _WARM_UP_SHARE) :]
        result = Result()
        for request, delay_ms, run in counted:
            time_to_first_token_ms = run.first_token_ms + delay_ms - request.at_ms
            result.first_token_ms.append(time_to_first_token_ms)
            result.prompt_tokens += run.prompt_tokens
            result.computed_tokens += run.prompt_tokens - run.cached_tokens
        times = sorted(run.first_token_ms for _, _, run in counted)
        middle = times[len(times) // 10 : -len(times) // 10]
        result.per_second = 1_000 * len(middle) / (middle[-1] - middle[0])
        return result


def replica_names(shape: DeploymentShape) -> list[str]:
    """Return the names of a deployment's replicas."""
    return [f"replica-{index}" for index in range(len(shape.replica_domains))]


def make_router(shape: DeploymentShape, node: int) -> Router:
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


def make_round_robin(shape: DeploymentShape, node: int) -> RoundRobin:
    """Return a round-robin balancer for a node."""
    return RoundRobin(replica_names(shape), node)


def make_least_connections(shape: DeploymentShape, node: int) -> LeastConnections:
    """Return a least-connections balancer for a node."""
    return LeastConnections(replica_names(shape), node)


def make_requests(
    shape: DeploymentShape, *, count: int, per_second: float, reuse: bool, seed: int
) -> list[Request]:
    """Return prompts of ten accounts, three of them large, at random times.

    With ``reuse`` the prompts of an account share clauses of 1,024 tokens, and its
    sessions return with another short question. Without ``reuse`` every prompt is
    new.
    """
    rng = random.Random(seed)
    requests = []
    at_ms = 0.0
    for _ in range(count):
        at_ms += rng.expovariate(per_second / 1_000)
        account = f"account-{min(9, int(rng.expovariate(0.4)))}"
        session = rng.randrange(24)
        session_tokens = 256 * (1 + int(_hash_fraction(account, session) * 8))
        question = rng.randrange(16, 128)
        tokens = 1_024 + session_tokens + question
        requests.append(
            Request(
                at_ms,
                rng.randrange(len(shape.node_domains)),
                account,
                tokens,
                rng.randrange(16, 48),
                _block_keys(account, session, session_tokens) if reuse else (),
            )
        )
    return requests


def _hash_fraction(account: str, session: int) -> float:
    return random.Random(f"{account}/{session}").random()


def _block_keys(account: str, session: int, session_tokens: int) -> tuple[str, ...]:
    shared = [f"{account}/clauses/{index}" for index in range(1_024 // BLOCK_TOKENS)]
    own = [
        f"{account}/{session}/{index}"
        for index in range(session_tokens // BLOCK_TOKENS)
    ]
    return (*shared, *own)
