"""One entry node of the replay: it routes prompts, imports and exports blocks."""

from collections.abc import Callable
from dataclasses import dataclass

from fireflyward.outcomes import Usage
from fireflyward.placement import (
    PIECE_BLOCKS,
    Estimate,
    Import,
    KeepPolicy,
    Placement,
    PlacementCosts,
    ServedPrompt,
    StoredRun,
    Tier,
    assign_stores,
    preferred_store,
)
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.upstreams import Accepted, Finished, LoadReport, Piece

from ._engine import MODEL, VERSION, ReplayEngine
from ._events import EventClock
from ._import import NodeLink, ReplayExport, ReplayImport
from ._index import ReplayIndex
from ._policies import Chooser, LeastLoaded, Policy, RoundRobin
from ._prompts import Prompt
from ._shape import DeploymentShape
from ._store import ReplayStore

_MAX_REPORT_AGE_MS = 1_000
_OWNER_KEY_INDEX = 7


@dataclass(frozen=True, slots=True)
class ReplayContext:
    """The state and callbacks that all nodes of one replay share."""

    shape: DeploymentShape
    clock: EventClock
    engine_by_name: dict[str, ReplayEngine]
    store_by_name: dict[str, ReplayStore]
    index: ReplayIndex
    keep_policy_by_node: dict[str, KeepPolicy]
    on_submit: Callable[[ReplayEngine, Prompt], None]
    on_change: Callable[[ReplayEngine], None]
    on_first_token: Callable[[Prompt, float], None]
    on_imported: Callable[[float], None]


class ReplayNode:
    """Uses the daemon's decision classes to serve the prompts that it receives."""

    __slots__ = ("_chooser", "_domain", "_links", "_placement", "_router", "_context")

    def __init__(
        self, context: ReplayContext, domain: str, policy: Policy, seed: int
    ) -> None:
        self._context = context
        self._domain = domain
        shape = context.shape
        self._router = Router(domain, seed=seed)
        self._router.set_replicas(
            [
                _candidate(name, replica_domain, shape)
                for name, replica_domain in shape.replica_domains().items()
            ]
        )
        costs = PlacementCosts(
            shape.block_bytes,
            link_bytes_per_ms=shape.store.link_bytes_per_ms,
            compute_weight=shape.compute_weight,
        )
        self._placement = Placement(costs, context.index)
        self._links = {
            name: NodeLink(store, context.clock, shape.block_bytes)
            for name, store in context.store_by_name.items()
        }
        self._chooser = self._make_chooser(policy, seed)

    def on_report(self, name: str, report: LoadReport) -> None:
        """Handle a replica's load report."""
        self._router.on_report(self._context.clock.now_ms(), name, report)

    def serve(self, run_id: str, prompt: Prompt) -> None:
        """Choose a replica, and send the prompt to it, after an import if planned."""
        clock = self._context.clock
        self._refresh_reports()
        text = prompt.text
        shape = RunShape(prompt.account, MODEL, VERSION, text.tokens, text.keys, run_id)
        name = self._chooser.choose(clock.now_ms(), shape)
        candidate = self._router.candidate(name)
        estimate = self._placement.estimate(clock.now_ms(), candidate, shape)
        self._placement.on_start(clock.exact_ms, estimate)
        attempt = _Attempt(self, run_id, prompt, shape, name)
        if self._chooser is self._router and isinstance(estimate.plan, Import):
            self._import(attempt, estimate)
        else:
            attempt.send()

    def _make_chooser(self, policy: Policy, seed: int) -> Chooser:
        if policy is Policy.ROUND_ROBIN:
            return RoundRobin(self._router.names(), seed)
        if policy in (Policy.LEAST_LOADED, Policy.BOUND):
            return LeastLoaded(self._router, self._placement, seed)
        if policy is Policy.OURS:
            self._router.set_estimate(self._placement)
        return self._router

    def _refresh_reports(self) -> None:
        """Read the load of replicas whose last report is too old."""
        now_ms = self._context.clock.now_ms()
        for name, engine in self._context.engine_by_name.items():
            if self._router.candidate(name).report_age_ms(now_ms) > _MAX_REPORT_AGE_MS:
                self._router.on_report(now_ms, name, engine.model.report(now_ms))

    def _import(self, attempt: "_Attempt", estimate: Estimate) -> None:
        plan = estimate.plan
        transfer = ReplayImport(
            plan,
            attempt.prompt.text.keys,
            self._tier(plan, attempt.shape),
            clock=self._context.clock,
            engine=self._context.engine_by_name[attempt.replica],
            link=self._links[plan.store],
            rates=self._placement.links,
            queue_ms=estimate.queue_ms,
            on_done=lambda overrun_ms: self._on_imported(attempt, overrun_ms),
        )
        transfer.start(attempt.prompt.account)

    def _on_imported(self, attempt: "_Attempt", overrun_ms: float) -> None:
        self._context.on_imported(overrun_ms)
        attempt.send()

    def _tier(self, plan: Import, shape: RunShape) -> Tier:
        locations = self._context.index.locate(self._context.clock.now_ms(), shape)
        return next(
            (run.tier for run in locations.stored if _covers(plan, run)), Tier.DISK
        )

    def on_sent(self, replica: str) -> None:
        """Count a run that was sent to a replica."""
        self._router.on_start(replica)

    def on_first_token(
        self, attempt: "_Attempt", first_ms: float, cached_tokens: int
    ) -> None:
        """Handle a run's first token: update the router and export blocks."""
        now_ms = self._context.clock.now_ms()
        router, run_id = self._router, attempt.run_id
        accepted = Accepted(VERSION, cached_tokens)
        router.on_event(now_ms, attempt.replica, run_id, accepted)
        router.on_event(now_ms, attempt.replica, run_id, Piece(0, 1, ""))
        if self._links:
            self._export_pieces(attempt)

    def on_run_end(self, attempt: "_Attempt") -> None:
        """Handle the end of a run."""
        now_ms = self._context.clock.now_ms()
        usage = Finished(Usage(attempt.prompt.text.tokens, 1, 0))
        self._router.on_event(now_ms, attempt.replica, attempt.run_id, usage)
        self._router.on_end(now_ms, attempt.replica, failed=False)
        self._placement.on_end(attempt.replica, now_ms - attempt.sent_ms)

    def _export_pieces(self, attempt: "_Attempt") -> None:
        """Export the pieces that the prompt's owning node decides to keep.

        That node is chosen by the key of one of the prompt's first blocks, which all
        prompts of a session have in common.
        """
        context, prompt = self._context, attempt.prompt
        keys = prompt.text.keys
        if not keys:
            return
        owners = tuple(context.keep_policy_by_node)
        owner = preferred_store(keys[min(_OWNER_KEY_INDEX, len(keys) - 1)], owners)
        now_ms = context.clock.now_ms()
        served = ServedPrompt(
            prompt.account, keys, prompt.has_session, prompt.hinted_blocks
        )
        offers = context.keep_policy_by_node[owner].on_prompt(now_ms, served)
        for store_name, offer in assign_stores(offers, keys, tuple(self._links)):
            store = self._links[store_name].store
            if offer.piece.key in store.published:
                key = offer.piece.key
                store.space.touch(now_ms, key, offer.reuses, is_read=False)
                continue
            first = offer.piece.first
            export = ReplayExport(
                offer,
                keys[first : first + PIECE_BLOCKS],
                clock=context.clock,
                engine=context.engine_by_name[attempt.replica],
                link=self._links[store_name],
                rates=self._placement.links,
            )
            export.start()

    def one_way_ms(self, replica: str) -> float:
        """Return the one-way delay to a replica."""
        shape = self._context.shape
        is_remote = shape.replica_domains()[replica] != self._domain
        return shape.one_way_ms if is_remote else 0.0

    @property
    def context(self) -> ReplayContext:
        """Return the state that this node shares with the others."""
        return self._context


class _Attempt:
    """One prompt that was routed to one replica."""

    __slots__ = ("_node", "prompt", "replica", "run_id", "sent_ms", "shape")

    def __init__(
        self,
        node: ReplayNode,
        run_id: str,
        prompt: Prompt,
        shape: RunShape,
        replica: str,
    ) -> None:
        self._node = node
        self.run_id = run_id
        self.prompt = prompt
        self.shape = shape
        self.replica = replica
        self.sent_ms = 0.0

    def send(self) -> None:
        """Send the prompt to the replica; it arrives after the one-way delay."""
        self._node.on_sent(self.replica)
        clock = self._node.context.clock
        clock.call_in(self._node.one_way_ms(self.replica), self._submit)

    def _submit(self) -> None:
        context = self._node.context
        self.sent_ms = context.clock.exact_ms
        engine = context.engine_by_name[self.replica]
        context.on_submit(engine, self.prompt)
        is_accepted = engine.submit(
            self.run_id,
            self.prompt.text,
            self.prompt.answer_tokens,
            self._on_first_token,
            self._on_end,
        )
        assert is_accepted, "the engine rejected a run because its queue is full"
        context.on_change(engine)

    def _on_first_token(self, first_ms: float, cached_tokens: int) -> None:
        context = self._node.context
        elapsed_ms = (
            first_ms
            - self.prompt.at_ms
            + context.shape.client_ms
            + self._node.one_way_ms(self.replica)
        )
        context.on_first_token(self.prompt, elapsed_ms)
        context.on_change(context.engine_by_name[self.replica])
        self._node.on_first_token(self, first_ms, cached_tokens)

    def _on_end(self) -> None:
        context = self._node.context
        context.on_change(context.engine_by_name[self.replica])
        self._node.on_run_end(self)


def _candidate(name: str, domain: str, shape: DeploymentShape) -> Candidate:
    """Return a replica for the router, with its usual prefill speed as a setting."""
    speed = shape.engine.prefill_ms_per_token
    return Candidate(name, domain, (MODEL,), {MODEL: VERSION}, ms_per_token=speed)


def _covers(plan: Import, run: StoredRun) -> bool:
    return run.store == plan.store and run.first <= plan.first < run.end
