"""Estimates the time to first token for each way of serving a prompt."""

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from fireflyward.routing import Candidate, RunShape
from fireflyward.upstreams import BLOCK_TOKENS

from ._plans import Estimate, Import, Plan, PrefixLocations, Recompute, Reuse, StoredRun
from ._rates import LinkRates

_ALLOWED_DELAY_SHARE = 0.04
_MIN_SAVING_SHARE = 0.02
_FIRST_BLOCK_ALLOWANCE_SHARE = 0.7
_NEW_RUN_WEIGHT = 0.1
_MAX_RECORDED_STARTS = 1_024


@dataclass(frozen=True, slots=True)
class PlacementCosts:
    """The costs of a deployment; the speeds are initial values for measurements.

    ``compute_weight`` is the number of milliseconds of a caller's wait that one
    millisecond of prefill counts for, because prefill delays all later runs. With 0,
    only the first token of this caller counts.
    """

    block_bytes: int
    link_bytes_per_ms: float = 3_000_000.0
    import_setup_ms: float = 2.0
    compute_weight: float = 0.5


class PrefixIndex(Protocol):
    """Finds the replicas and stores that have the blocks of a prompt."""

    def locate(self, now_ms: float, shape: RunShape) -> PrefixLocations: ...


class Placement:
    """Estimates the time to the first token of a prompt on each replica; does no I/O.

    Routing calls ``estimate_ms`` for each candidate. The code that executes the run
    then calls ``estimate`` to get the plan for the chosen replica.
    """

    __slots__ = (
        "_costs",
        "_index",
        "_cached_lookup",
        "_run_ms_by_replica",
        "_starts_by_replica",
        "links",
    )

    def __init__(self, costs: PlacementCosts, index: PrefixIndex) -> None:
        self._costs = costs
        self._index = index
        self._cached_lookup: tuple[float, RunShape, PrefixLocations] | None = None
        self._run_ms_by_replica: dict[str, float] = {}
        self._starts_by_replica: dict[str, deque[tuple[float, float]]] = {}
        self.links = LinkRates(costs.link_bytes_per_ms)

    def estimate_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        """Return the cost in milliseconds, which routing minimizes."""
        return self.cost(self.estimate(now_ms, candidate, shape))

    def on_start(self, now_ms: float, estimate: Estimate) -> None:
        """Record the prefill of a run that this node sends to a replica."""
        starts = self._starts_by_replica.setdefault(
            estimate.replica, deque(maxlen=_MAX_RECORDED_STARTS)
        )
        starts.append((now_ms, estimate.compute_ms))

    def on_end(self, replica: str, took_ms: float) -> None:
        """Update the average time that a run occupies a place on a replica."""
        average = self._run_ms_by_replica.get(replica, took_ms)
        self._run_ms_by_replica[replica] = average + _NEW_RUN_WEIGHT * (
            took_ms - average
        )

    def queue_ms(self, now_ms: float, candidate: Candidate) -> float:
        """Return the estimated wait before the prefill of a new run starts.

        The reported backlog is reduced by the age of the report, and runs that this
        node started after the report are added. If runs also wait for a place among
        the decoding runs, the longer of the two waits counts.
        """
        own_ms = self._own_prefill_ms(candidate)
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
        """Return the estimate for the best way to serve a prompt on one replica."""
        locations = self._locate(now_ms, shape)
        queue_ms = self.queue_ms(now_ms, candidate)
        ms_per_token = candidate.ms_per_token
        cached_blocks = min(
            locations.cached_blocks(candidate.name), len(shape.block_keys)
        )
        uncached_tokens = max(1, shape.prompt_tokens - cached_blocks * BLOCK_TOKENS)
        compute_ms = uncached_tokens * ms_per_token
        plan: Plan = Reuse(cached_blocks) if cached_blocks else Recompute()
        without_import = Estimate(
            candidate.name,
            queue_ms + compute_ms,
            plan,
            cached_blocks,
            compute_ms,
            queue_ms,
        )
        options = [without_import]
        for run in locations.stored:
            if run.end > cached_blocks and self.links.is_available(now_ms, run.store):
                options += self._import_options(
                    now_ms, without_import, run, ms_per_token
                )
        return min(options, key=self.cost)

    def cost(self, estimate: Estimate) -> float:
        """Return the time to first token plus the weighted prefill time."""
        weight = self._costs.compute_weight
        return estimate.first_token_ms + weight * estimate.compute_ms

    def _own_prefill_ms(self, candidate: Candidate) -> float:
        """Return the prefill time of runs started here after the last report."""
        starts = self._starts_by_replica.get(candidate.name)
        if not starts:
            return 0.0
        while starts and starts[0][0] < candidate.reported_at_ms:
            starts.popleft()
        return sum(compute_ms for _, compute_ms in starts)

    def _locate(self, now_ms: float, shape: RunShape) -> PrefixLocations:
        """Query the index only once for all candidates of one choice."""
        if self._cached_lookup is None or self._cached_lookup[:2] != (now_ms, shape):
            self._cached_lookup = now_ms, shape, self._index.locate(now_ms, shape)
        return self._cached_lookup[2]

    def _import_options(
        self,
        now_ms: float,
        without_import: Estimate,
        run: StoredRun,
        ms_per_token: float,
    ) -> list[Estimate]:
        """Return estimates for the numbers of blocks to import that may be best.

        Blocks can be loaded while the run waits in the replica's queue. Each further
        block adds its loading time and saves its computing time. The best number is
        therefore either all blocks of the stored run or those that can be loaded
        during the wait.
        """
        links, costs = self.links, self._costs
        rate = links.bytes_per_ms(now_ms, run.store, run.tier)
        load_ms = costs.block_bytes / rate
        link_wait_ms = costs.import_setup_ms + links.in_flight_bytes(run.store) / rate
        first = max(without_import.reused_blocks, run.first)
        all_blocks = run.end - first
        blocks_during_wait = min(
            all_blocks, int(max(0.0, without_import.queue_ms - link_wait_ms) / load_ms)
        )
        allowance_ms = _ALLOWED_DELAY_SHARE * without_import.first_token_ms
        if (
            link_wait_ms + load_ms
            > without_import.queue_ms + _FIRST_BLOCK_ALLOWANCE_SHARE * allowance_ms
        ):
            return []
        options = []
        for blocks in {all_blocks, blocks_during_wait} - {0}:
            block_ms = BLOCK_TOKENS * ms_per_token
            compute_ms = max(
                ms_per_token, without_import.compute_ms - blocks * block_ms
            )
            prefill_start_ms = max(
                without_import.queue_ms, link_wait_ms + blocks * load_ms
            )
            estimate = Estimate(
                without_import.replica,
                prefill_start_ms + compute_ms,
                Import(run.store, first, blocks, block_ms, allowance_ms),
                without_import.reused_blocks + blocks,
                compute_ms,
                without_import.queue_ms,
            )
            if estimate.first_token_ms < without_import.first_token_ms * (
                1 - _MIN_SAVING_SHARE
            ):
                options.append(estimate)
        return options
