"""Replays a workload's prompts under one policy, on an event clock."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from fireflyward.placement import KeepPolicy
from fireflyward.standins import EngineModel

from ._engine import MODEL, VERSION, ReplayEngine
from ._events import EventClock
from ._index import ReplayIndex
from ._node import ReplayContext, ReplayNode
from ._policies import Policy
from ._prompts import Prompt
from ._shape import DeploymentShape
from ._store import ReplayStore

_REPORT_DELAY_MS = 250.0
_UNLIMITED_BLOCKS = 1 << 40


@dataclass(slots=True)
class ReplayResult:
    """The result of one policy; times are in milliseconds.

    ``longest_overrun_ms`` is the longest time by which an import exceeded the limit
    of its ``ImportWatch``.
    """

    policy: Policy
    prompt_tokens: int = 0
    computed_tokens: int = 0
    link_bytes: int = 0
    imports: int = 0
    longest_overrun_ms: float = -math.inf
    first_token_ms: list[float] = field(default_factory=list)

    @property
    def recomputed_share(self) -> float:
        """Return the share of the prompts' tokens that was computed, not reused."""
        return self.computed_tokens / max(1, self.prompt_tokens)

    @property
    def mean_ms(self) -> float:
        """Return the mean time to first token."""
        return sum(self.first_token_ms) / max(1, len(self.first_token_ms))

    def quantile_ms(self, percentile: float) -> float:
        """Return a percentile of the time to first token, by nearest rank."""
        ranked = sorted(self.first_token_ms)
        rank = max(1, -(-len(ranked) * percentile // 100))
        return ranked[int(rank) - 1]


@dataclass(frozen=True, slots=True)
class ReplayFaults:
    """Faults of a whole replay: how many stores accept calls, but never answer."""

    silent_stores: int = 0


class Replay:
    """One replay of a deployment under one policy."""

    __slots__ = (
        "_arrivals",
        "_clock",
        "_computed_keys",
        "_nodes",
        "_policy",
        "_random",
        "_pending_reports",
        "_result",
        "_context",
    )

    def __init__(
        self,
        shape: DeploymentShape,
        policy: Policy,
        *,
        seed: int = 1,
        faults: ReplayFaults | None = None,
    ) -> None:
        if policy is not Policy.OURS:
            shape = shape.without_stores()
        if policy is Policy.BOUND:
            unlimited = replace(shape.engine, cache_blocks=_UNLIMITED_BLOCKS)
            shape = replace(shape, engine=unlimited)
        self._policy = policy
        self._clock = EventClock()
        self._random = random.Random(f"replay {seed}")
        self._computed_keys: dict[str, None] = {}
        self._pending_reports: set[str] = set()
        self._result = ReplayResult(policy)
        self._context = self._make_context(shape, seed)
        self._silence_stores((faults or ReplayFaults()).silent_stores)
        domains = shape.failure_domains
        self._nodes = [
            ReplayNode(
                self._context,
                domains[number % len(domains)],
                policy,
                seed * 1_000 + number,
            )
            for number in range(shape.entry_nodes)
        ]

    def silence_stores_at(self, at_ms: float) -> None:
        """Make all stores stop answering at a time during the replay."""
        self._clock.call_at(
            at_ms, lambda: self._silence_stores(len(self._context.store_by_name))
        )

    def _silence_stores(self, count: int) -> None:
        for store in list(self._context.store_by_name.values())[:count]:
            store.is_silent = True

    def run(self, prompts: Sequence[Prompt]) -> ReplayResult:
        """Replay the prompts, and return the result."""
        for number, prompt in enumerate(prompts):
            self._clock.call_at(
                prompt.at_ms + self._context.shape.client_ms,
                lambda number=number, prompt=prompt: self._on_prompt(number, prompt),
            )
        self._clock.run()
        engines = self._context.engine_by_name.values()
        self._result.prompt_tokens = sum(p.text.tokens for p in prompts)
        self._result.computed_tokens = sum(e.model.computed_tokens for e in engines)
        stores = self._context.store_by_name.values()
        self._result.link_bytes = sum(store.link_bytes for store in stores)
        return self._result

    def _make_context(self, shape: DeploymentShape, seed: int) -> ReplayContext:
        clock = self._clock
        store_by_name = {
            f"store-{number + 1}": ReplayStore(
                f"store-{number + 1}", shape, clock, seed + number
            )
            for number in range(shape.stores)
        }
        engine_by_name = {
            name: ReplayEngine(name, EngineModel({MODEL: VERSION}, shape.engine), clock)
            for name in shape.replica_domains()
        }
        return ReplayContext(
            shape=shape,
            clock=clock,
            engine_by_name=engine_by_name,
            store_by_name=store_by_name,
            index=ReplayIndex(clock, store_by_name.values(), seed),
            keep_policy_by_node={
                f"node-{number}": KeepPolicy() for number in range(shape.entry_nodes)
            },
            on_submit=self._on_submit,
            on_change=self._on_change,
            on_first_token=self._on_first_token,
            on_imported=self._on_imported,
        )

    def _on_prompt(self, number: int, prompt: Prompt) -> None:
        node = self._random.choice(self._nodes)
        node.serve(str(number), prompt)

    def _on_submit(self, engine: ReplayEngine, prompt: Prompt) -> None:
        """For ``BOUND``, cache all blocks of the prompt that were ever computed."""
        if self._policy is Policy.BOUND:
            keys = prompt.text.keys
            prefix_blocks = next(
                (n for n, key in enumerate(keys) if key not in self._computed_keys),
                len(keys),
            )
            engine.load(keys[:prefix_blocks], 0)
            self._computed_keys.update(dict.fromkeys(keys))

    def _on_change(self, engine: ReplayEngine) -> None:
        """Report a replica's load and cache to the nodes after a delay."""
        if engine.name not in self._pending_reports:
            self._pending_reports.add(engine.name)
            self._clock.call_in(_REPORT_DELAY_MS, lambda: self._report(engine))

    def _report(self, engine: ReplayEngine) -> None:
        self._pending_reports.discard(engine.name)
        report = engine.model.report(self._clock.exact_ms)
        for node in self._nodes:
            node.on_report(engine.name, report)
        if self._policy is Policy.OURS:
            self._context.index.on_changed(engine)

    def _on_first_token(self, prompt: Prompt, elapsed_ms: float) -> None:
        self._result.first_token_ms.append(elapsed_ms)

    def _on_imported(self, overrun_ms: float) -> None:
        result = self._result
        result.imports += 1
        result.longest_overrun_ms = max(result.longest_overrun_ms, overrun_ms)
