"""Expected time to first token of each way of serving a prompt."""

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from fireflyward.routing import Candidate, RunShape
from fireflyward.upstreams import BLOCK_TOKENS

from ._plans import Estimate, Import, Plan, PrefixLocations, Recompute, Reuse, StoredRun
from ._rates import LinkRates

_ALLOWED_LATENESS = 0.04
_LEAST_SAVING = 0.02
_FIRST_BLOCK_BY = 0.7
_NEW_RUN_SHARE = 0.1
_MAX_OWN_STARTS = 1_024


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

    def locate(self, now_ms: float, shape: RunShape) -> PrefixLocations: ...


class Placement:
    """One node's estimate of the time to a prompt's first token on each replica.

    It does no I/O. Routing asks ``estimate_ms`` of each candidate; what executes
    the run then asks ``estimate`` for the plan on the chosen one.
    """

    __slots__ = (
        "_costs",
        "_index",
        "_known",
        "_run_ms_by_replica",
        "_starts_by_replica",
        "links",
    )

    def __init__(self, costs: PlacementCosts, index: PrefixIndex) -> None:
        self._costs = costs
        self._index = index
        self._known: tuple[float, RunShape, PrefixLocations] | None = None
        self._run_ms_by_replica: dict[str, float] = {}
        self._starts_by_replica: dict[str, deque[tuple[float, float]]] = {}
        self.links = LinkRates(costs.link_bytes_per_ms)

    def estimate_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        """Return what routing minimizes, in milliseconds."""
        return self.cost(self.estimate(now_ms, candidate, shape))

    def on_start(self, now_ms: float, estimate: Estimate) -> None:
        """Count prefill that this node now gives a replica."""
        starts = self._starts_by_replica.setdefault(
            estimate.replica, deque(maxlen=_MAX_OWN_STARTS)
        )
        starts.append((now_ms, estimate.compute_ms))

    def on_end(self, replica: str, took_ms: float) -> None:
        """Take how long a run had its place on a replica."""
        known = self._run_ms_by_replica.get(replica, took_ms)
        self._run_ms_by_replica[replica] = known + _NEW_RUN_SHARE * (took_ms - known)

    def queue_ms(self, now_ms: float, candidate: Candidate) -> float:
        """Return the wait before a new run's prefill begins.

        What the report says has been worked off since, and what this node started
        after the report is not in it yet. With runs that wait for a place among
        those that decode, that wait counts if it is the longer one.
        """
        own_ms = self._own_ms(candidate)
        report = candidate.report
        if report is None:
            return own_ms
        age_ms = max(0.0, now_ms - candidate.reported_at_ms)
        reported_ms = report.queued_prefill_tokens * candidate.ms_per_token
        prefill_ms = max(0.0, reported_ms + own_ms - age_ms)
        run_ms = self._run_ms_by_replica.get(candidate.name, 0.0)
        return max(prefill_ms, run_ms * report.queued / max(1, report.running))

    def estimate(
        self,
        now_ms: float,
        candidate: Candidate,
        shape: RunShape,
    ) -> Estimate:
        """Return the best way of serving a prompt on one replica."""
        known = self._look_up(now_ms, shape)
        queue_ms = self.queue_ms(now_ms, candidate)
        ms_per_token = candidate.ms_per_token
        held = min(known.held(candidate.name), len(shape.block_keys))
        left_tokens = max(1, shape.prompt_tokens - held * BLOCK_TOKENS)
        compute_ms = left_tokens * ms_per_token
        plan: Plan = Reuse(held) if held else Recompute()
        without = Estimate(
            candidate.name, queue_ms + compute_ms, plan, held, compute_ms, queue_ms
        )
        ways = [without]
        for run in known.stored:
            if run.end > held and self.links.is_available(now_ms, run.store):
                ways += self._importing(now_ms, without, run, ms_per_token)
        return min(ways, key=self.cost)

    def cost(self, estimate: Estimate) -> float:
        """Return what is compared: the wait, and the prefill that others wait for."""
        weight = self._costs.compute_weight
        return estimate.first_token_ms + weight * estimate.compute_ms

    def _own_ms(self, candidate: Candidate) -> float:
        """Return the prefill that this node started after the last report."""
        starts = self._starts_by_replica.get(candidate.name)
        if not starts:
            return 0.0
        while starts and starts[0][0] < candidate.reported_at_ms:
            starts.popleft()
        return sum(compute_ms for _, compute_ms in starts)

    def _look_up(self, now_ms: float, shape: RunShape) -> PrefixLocations:
        """Ask the index once for all candidates of one choice."""
        if self._known is None or self._known[:2] != (now_ms, shape):
            self._known = now_ms, shape, self._index.locate(now_ms, shape)
        return self._known[2]

    def _importing(
        self, now_ms: float, without: Estimate, run: StoredRun, ms_per_token: float
    ) -> list[Estimate]:
        """Return the splits between loading a run and computing that may be best.

        Loading goes on while the replica's queue is worked off. Beyond that each
        loaded block adds its loading time and saves its computing time, so that
        either the whole run is best or what fits into the queue's wait.
        """
        links, costs = self.links, self._costs
        rate = links.bytes_per_ms(now_ms, run.store, run.tier)
        load_ms = costs.block_bytes / rate
        ahead_ms = costs.import_setup_ms + links.in_flight_bytes(run.store) / rate
        first = max(without.reused_blocks, run.first)
        whole = run.end - first
        fitting = min(whole, int(max(0.0, without.queue_ms - ahead_ms) / load_ms))
        allowance_ms = _ALLOWED_LATENESS * without.first_token_ms
        if ahead_ms + load_ms > without.queue_ms + _FIRST_BLOCK_BY * allowance_ms:
            return []
        ways = []
        for blocks in {whole, fitting} - {0}:
            block_ms = BLOCK_TOKENS * ms_per_token
            compute_ms = max(ms_per_token, without.compute_ms - blocks * block_ms)
            before_ms = max(without.queue_ms, ahead_ms + blocks * load_ms)
            estimate = Estimate(
                without.replica,
                before_ms + compute_ms,
                Import(run.store, first, blocks, block_ms, allowance_ms),
                without.reused_blocks + blocks,
                compute_ms,
                without.queue_ms,
            )
            if estimate.first_token_ms < without.first_token_ms * (1 - _LEAST_SAVING):
                ways.append(estimate)
        return ways
