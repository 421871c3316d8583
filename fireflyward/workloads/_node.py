"""One entry node of the replay: it chooses, imports, sends and learns."""

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
from ._import import LinkUser, ReplayExport, ReplayImport
from ._index import ReplayIndex
from ._policies import Chooser, LeastLoaded, Policy, RoundRobin
from ._prompts import Prompt
from ._shape import DeploymentShape
from ._store import ReplayStore

_OLD_REPORT_MS = 1_000
_SESSION_BLOCK = 7


@dataclass(frozen=True, slots=True)
class World:
    """What all nodes of one replay share."""

    shape: DeploymentShape
    clock: EventClock
    engine_by_name: dict[str, ReplayEngine]
    store_by_name: dict[str, ReplayStore]
    index: ReplayIndex
    keeper_by_name: dict[str, KeepPolicy]
    on_submit: Callable[[ReplayEngine, Prompt], None]
    on_change: Callable[[ReplayEngine], None]
    on_first_token: Callable[[Prompt, float], None]
    on_imported: Callable[[float], None]


class ReplayNode:
    """Drives the daemon's own decision classes for the prompts that come to it."""

    __slots__ = ("_chooser", "_domain", "_links", "_placement", "_router", "_world")

    def __init__(self, world: World, domain: str, policy: Policy, seed: int) -> None:
        self._world = world
        self._domain = domain
        shape = world.shape
        self._router = Router(domain, seed=seed)
        self._router.set_replicas(
            [
                _candidate(name, home, shape)
                for name, home in shape.replica_domains().items()
            ]
        )
        costs = PlacementCosts(
            shape.block_bytes,
            link_bytes_per_ms=shape.store.link_bytes_per_ms,
            compute_weight=shape.compute_weight,
        )
        self._placement = Placement(costs, world.index)
        self._links = {
            name: LinkUser(store, world.clock, shape.block_bytes)
            for name, store in world.store_by_name.items()
        }
        self._chooser = self._make_chooser(policy, seed)

    def on_report(self, name: str, report: LoadReport) -> None:
        """Take a replica's load."""
        self._router.on_report(self._world.clock.now_ms(), name, report)

    def serve(self, run_id: str, prompt: Prompt) -> None:
        """Choose a replica and a way, and set out on it."""
        clock = self._world.clock
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
        """Read the load of replicas of which nothing changed for a while."""
        now_ms = self._world.clock.now_ms()
        for name, engine in self._world.engine_by_name.items():
            if self._router.candidate(name).report_age_ms(now_ms) > _OLD_REPORT_MS:
                self._router.on_report(now_ms, name, engine.model.report(now_ms))

    def _import(self, attempt: "_Attempt", estimate: Estimate) -> None:
        plan = estimate.plan
        transfer = ReplayImport(
            plan,
            attempt.prompt.text.keys,
            self._tier(plan, attempt.shape),
            clock=self._world.clock,
            engine=self._world.engine_by_name[attempt.replica],
            link=self._links[plan.store],
            rates=self._placement.links,
            queue_ms=estimate.queue_ms,
            done=lambda overrun_ms: self._imported(attempt, overrun_ms),
        )
        transfer.start(attempt.prompt.account)

    def _imported(self, attempt: "_Attempt", overrun_ms: float) -> None:
        self._world.on_imported(overrun_ms)
        attempt.send()

    def _tier(self, plan: Import, shape: RunShape) -> Tier:
        known = self._world.index.locate(self._world.clock.now_ms(), shape)
        return next((run.tier for run in known.stored if _is_in(plan, run)), Tier.DISK)

    def sent(self, replica: str) -> None:
        """Count a run that is on its way to a replica."""
        self._router.on_start(replica)

    def learn(self, attempt: "_Attempt", first_ms: float, cached_tokens: int) -> None:
        """Take a run's first token: learn from it and keep what is worth it."""
        now_ms = self._world.clock.now_ms()
        router, run_id = self._router, attempt.run_id
        accepted = Accepted(VERSION, cached_tokens)
        router.on_event(now_ms, attempt.replica, run_id, accepted)
        router.on_event(now_ms, attempt.replica, run_id, Piece(0, 1, ""))
        if self._links:
            self._keep(attempt)

    def ended(self, attempt: "_Attempt") -> None:
        """Take the end of a run."""
        now_ms = self._world.clock.now_ms()
        usage = Finished(Usage(attempt.prompt.text.tokens, 1, 0))
        self._router.on_event(now_ms, attempt.replica, attempt.run_id, usage)
        self._router.on_end(now_ms, attempt.replica, failed=False)
        self._placement.on_end(attempt.replica, now_ms - attempt.sent_ms)

    def _keep(self, attempt: "_Attempt") -> None:
        """Ask the owner of the prompt's session what to keep, and export that."""
        world, prompt = self._world, attempt.prompt
        keys = prompt.text.keys
        if not keys:
            return
        owners = tuple(world.keeper_by_name)
        owner = preferred_store(keys[min(_SESSION_BLOCK, len(keys) - 1)], owners)
        now_ms = world.clock.now_ms()
        seen = ServedPrompt(
            prompt.account, keys, prompt.has_session, prompt.hinted_blocks
        )
        offers = world.keeper_by_name[owner].on_prompt(now_ms, seen)
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
                clock=world.clock,
                engine=world.engine_by_name[attempt.replica],
                link=self._links[store_name],
                rates=self._placement.links,
            )
            export.start()

    def hop_ms(self, replica: str) -> float:
        """Return the one-way delay to a replica."""
        shape = self._world.shape
        is_remote = shape.replica_domains()[replica] != self._domain
        return shape.one_way_ms if is_remote else 0.0

    @property
    def world(self) -> World:
        """Return what this node shares with the others."""
        return self._world


class _Attempt:
    """One prompt on its way to one replica."""

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
        """Send the prompt as it is now."""
        self._node.sent(self.replica)
        clock = self._node.world.clock
        clock.call_in(self._node.hop_ms(self.replica), self._submit)

    def _submit(self) -> None:
        world = self._node.world
        self.sent_ms = world.clock.exact_ms
        engine = world.engine_by_name[self.replica]
        world.on_submit(engine, self.prompt)
        is_accepted = engine.submit(
            self.run_id,
            self.prompt.text,
            self.prompt.answer_tokens,
            self._first_token,
            self._ended,
        )
        assert is_accepted, "the replay has more runs than an engine queues"
        world.on_change(engine)

    def _first_token(self, first_ms: float, cached_tokens: int) -> None:
        world = self._node.world
        took_ms = (
            first_ms
            - self.prompt.at_ms
            + world.shape.client_ms
            + self._node.hop_ms(self.replica)
        )
        world.on_first_token(self.prompt, took_ms)
        world.on_change(world.engine_by_name[self.replica])
        self._node.learn(self, first_ms, cached_tokens)

    def _ended(self) -> None:
        world = self._node.world
        world.on_change(world.engine_by_name[self.replica])
        self._node.ended(self)


def _candidate(name: str, domain: str, shape: DeploymentShape) -> Candidate:
    """Return a replica of which only its usual speed is known, as a setting."""
    speed = shape.engine.prefill_ms_per_token
    return Candidate(name, domain, (MODEL,), {MODEL: VERSION}, ms_per_token=speed)


def _is_in(plan: Import, run: StoredRun) -> bool:
    return run.store == plan.store and run.first <= plan.first < run.end
