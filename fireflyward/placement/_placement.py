"""Expected time to first token of each way of serving a prompt."""

from dataclasses import dataclass
from typing import Protocol

from fireflyward.routing import Candidate, RunShape
from fireflyward.upstreams import BLOCK_TOKENS

from ._plans import Estimate, Import, KnownPrefixes, Plan, Recompute, Reuse, StoredRun
from ._rates import LinkRates

_ALLOWED_LATENESS = 0.04
_LEAST_SAVING = 0.02
_NEW_RUN_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class PlacementCosts:
    """What a deployment tells placement; the speeds are where learning starts.

    ``compute_weight`` says how many milliseconds of a caller's wait one
    millisecond of prefill is worth, because prefill delays everybody behind it:
    0 looks at this caller's first token only.
    """

    block_bytes: int
    link_bytes_per_ms: float = 3_000_000.0
    import_setup_ms: float = 2.0
    compute_weight: float = 0.5


class PrefixIndex(Protocol):
    """What knows where blocks are."""

    def known(self, now_ms: float, shape: RunShape) -> KnownPrefixes: ...


class Placement:
    """One node's estimate of the time to a prompt's first token on each replica.

    It does no I/O. Routing asks ``estimate_ms`` of each candidate; what executes
    the run then asks ``estimate`` for the plan on the chosen one.
    """

    __slots__ = ("_costs", "_index", "_run_ms_by_replica", "links")

    def __init__(self, costs: PlacementCosts, index: PrefixIndex) -> None:
        self._costs = costs
        self._index = index
        self._run_ms_by_replica: dict[str, float] = {}
        self.links = LinkRates(costs.link_bytes_per_ms)

    def estimate_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        """Return what routing minimizes, in milliseconds."""
        return self.cost(self.estimate(now_ms, candidate, shape))

    def on_end(self, replica: str, took_ms: float) -> None:
        """Take how long a run had its place on a replica."""
        known = self._run_ms_by_replica.get(replica, took_ms)
        self._run_ms_by_replica[replica] = known + _NEW_RUN_SHARE * (took_ms - known)

    def queue_ms(self, now_ms: float, candidate: Candidate) -> float:
        """Return the wait before a new run's prefill begins: others' prefill, or a
        place among the runs that decode, whichever takes longer.
        """
        prefill_ms = candidate.backlog_tokens(now_ms) * candidate.ms_per_token
        report = candidate.report
        if report is None or not report.queued:
            return prefill_ms
        run_ms = self._run_ms_by_replica.get(candidate.name, 0.0)
        return max(prefill_ms, run_ms * report.queued / max(1, report.running))

    def estimate(
        self,
        now_ms: float,
        candidate: Candidate,
        shape: RunShape,
    ) -> Estimate:
        """Return the best way of serving a prompt on one replica."""
        known = self._index.known(now_ms, shape)
        queue_ms = self.queue_ms(now_ms, candidate)
        ms_per_token = candidate.ms_per_token
        held = min(known.held(candidate.name), len(shape.block_keys))
        left_tokens = max(1, shape.prompt_tokens - held * BLOCK_TOKENS)
        compute_ms = left_tokens * ms_per_token
        plan: Plan = Reuse(held) if held else Recompute()
        best = Estimate(
            candidate.name, queue_ms + compute_ms, plan, held, compute_ms, queue_ms
        )
        for run in known.stored:
            if run.end > held and self.links.is_open(now_ms, run.store):
                other = self._importing(now_ms, best, run, ms_per_token, held)
                best = min(best, other, key=self.cost)
        return best

    def cost(self, estimate: Estimate) -> float:
        """Return what is compared: the wait, and the prefill that others wait for."""
        weight = self._costs.compute_weight
        return estimate.first_token_ms + weight * estimate.compute_ms

    def _importing(
        self,
        now_ms: float,
        without: Estimate,
        run: StoredRun,
        ms_per_token: float,
        held: int,
    ) -> Estimate:
        """Return the best split between loading part of a run and computing.

        Loading goes on while the replica's queue is worked off. Beyond that each
        loaded block adds its loading time and saves its computing time, so that
        either the whole run is best or what fits into the queue's wait.
        """
        links, costs = self.links, self._costs
        rate = links.bytes_per_ms(now_ms, run.store, run.tier)
        load_ms = costs.block_bytes / rate
        ahead_ms = costs.import_setup_ms + links.in_flight_bytes(run.store) / rate
        first = max(held, run.first)
        fitting = int(max(0.0, without.queue_ms - ahead_ms) / load_ms)
        best = without
        for blocks in {run.end - first, min(run.end - first, fitting)} - {0}:
            block_ms = BLOCK_TOKENS * ms_per_token
            before_ms = max(without.queue_ms, ahead_ms + blocks * load_ms)
            compute_ms = self._compute_without(without, blocks, block_ms)
            first_token_ms = before_ms + compute_ms
            allowance_ms = _ALLOWED_LATENESS * without.first_token_ms
            plan = Import(run.store, first, blocks, block_ms, allowance_ms)
            estimate = Estimate(
                without.replica,
                first_token_ms,
                plan,
                held + blocks,
                compute_ms,
                without.queue_ms,
            )
            if first_token_ms < without.first_token_ms * (1 - _LEAST_SAVING):
                best = min(best, estimate, key=self.cost)
        return best

    def _compute_without(
        self, without: Estimate, blocks: int, block_ms: float
    ) -> float:
        return max(block_ms / BLOCK_TOKENS, without.compute_ms - blocks * block_ms)
