import hashlib
import unittest

from fireflyward.placement import (
    Import,
    Placement,
    PlacementCosts,
    PrefixLocations,
    Recompute,
    Reuse,
    StoredRun,
    Tier,
)
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.upstreams import BLOCK_TOKENS, LoadReport

BLOCKS = 200
MS_PER_TOKEN = 0.25
BLOCK_MS = BLOCK_TOKENS * MS_PER_TOKEN
BLOCK_BYTES = 10_000_000
LINK = BLOCK_BYTES / 4
NOW_MS = 1_000
KEYS = tuple(
    hashlib.blake2b(str(n).encode(), digest_size=16).hexdigest() for n in range(BLOCKS)
)
SHAPE = RunShape("a", "m", "v1", BLOCKS * BLOCK_TOKENS + 20, KEYS, "run-1")


class FixedIndex:
    def __init__(self, cached_blocks=None, stored=()):
        self.prefixes = PrefixLocations(cached_blocks or {}, tuple(stored))

    def locate(self, now_ms, shape):
        return self.prefixes


def candidate(name, queued_tokens=0, at_ms=NOW_MS):
    report = LoadReport(0, 0, queued_tokens, 100, {"m": "v1"})
    return Candidate(
        name, "d", ("m",), {"m": "v1"}, report, at_ms, ms_per_token=MS_PER_TOKEN
    )


def placement(cached_blocks=None, stored=(), weight=0.0):
    costs = PlacementCosts(BLOCK_BYTES, link_bytes_per_ms=LINK, compute_weight=weight)
    return Placement(costs, FixedIndex(cached_blocks, stored))


class EstimateTests(unittest.TestCase):
    def test_unknown_prompt_is_recomputed(self):
        estimate = placement().estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Recompute())
        self.assertEqual(estimate.first_token_ms, SHAPE.prompt_tokens * MS_PER_TOKEN)

    def test_replica_computes_only_uncached_blocks(self):
        estimate = placement({"r": 150}).estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Reuse(150))
        self.assertEqual(estimate.first_token_ms, (50 * 64 + 20) * MS_PER_TOKEN)

    def test_import_loads_the_blocks_after_the_cached_prefix(self):
        stored = [StoredRun("s", 0, 180)]
        estimate = placement({"r": 20}, stored).estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual((estimate.plan.first, estimate.plan.blocks), (20, 160))
        self.assertEqual(estimate.reused_blocks, 180)

    def test_second_store_is_compared_with_recomputing_and_not_with_the_first(self):
        """Prompts were recomputed although a store had their blocks. Two stores had a
        prefix, the second one a short one. Its saving was added to that of the first
        store, so it appeared to be better."""
        stored = [StoredRun("long", 0, 200), StoredRun("short", 0, 100)]
        estimate = placement(stored=stored).estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan.store, "long")

    def test_slow_link_loads_only_blocks_that_arrive_during_the_wait(self):
        """Loading a block takes longer than computing it. During the wait in the
        replica's queue some blocks are loaded; the others are computed."""
        planner = placement(stored=[StoredRun("s", 0, 200)])
        for _ in range(60):
            planner.links.on_measured(NOW_MS, "s", Tier.MEMORY, BLOCK_BYTES, 40.0)
        idle = planner.estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(idle.plan, Recompute())
        busy = planner.estimate(NOW_MS, candidate("r", 8_000), SHAPE)
        self.assertAlmostEqual(busy.plan.blocks, 8_000 * MS_PER_TOKEN / 40, delta=2)
        self.assertLess(busy.first_token_ms, 2_000 + 3_205)

    def test_unavailable_store_is_not_used(self):
        planner = placement(stored=[StoredRun("s", 0, 200)])
        planner.links.on_no_data(NOW_MS, "s")
        estimate = planner.estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Recompute())

    def test_import_whose_first_block_would_arrive_too_late_is_not_started(self):
        """The import would wait for transfers of this node already on the link."""
        planner = placement(stored=[StoredRun("s", 0, 200)])
        planner.links.on_start("s", 50 * BLOCK_BYTES)
        estimate = planner.estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Recompute())

    def test_allowance_keeps_every_import_within_5_percent_of_recomputing(self):
        for cached_blocks in range(0, BLOCKS, 13):
            planner = placement({"r": cached_blocks}, [StoredRun("s", 0, 200)])
            estimate = planner.estimate(NOW_MS, candidate("r"), SHAPE)
            if isinstance(estimate.plan, Import):
                recompute_ms = (SHAPE.prompt_tokens - 64 * cached_blocks) * MS_PER_TOKEN
                self.assertLessEqual(estimate.plan.allowance_ms, 0.05 * recompute_ms)


class QueueTests(unittest.TestCase):
    def test_reported_backlog_decreases_with_age_and_own_runs_are_added(self):
        planner = placement()
        old = candidate("r", 8_000, at_ms=NOW_MS - 500)
        self.assertEqual(planner.queue_ms(NOW_MS, old), 1_500)
        planner.on_start(NOW_MS, planner.estimate(NOW_MS, old, SHAPE))
        self.assertEqual(
            planner.queue_ms(NOW_MS, old), 1_500 + SHAPE.prompt_tokens * MS_PER_TOKEN
        )
        reported = candidate("r", 0, at_ms=NOW_MS + 1)
        self.assertEqual(planner.queue_ms(NOW_MS + 1, reported), 0)

    def test_wait_for_a_place_among_the_decoding_runs_counts(self):
        planner = placement()
        planner.on_end("r", 2_000)
        full = candidate("r")
        full.report = LoadReport(8, 16, 0, 0, {"m": "v1"})
        self.assertEqual(planner.queue_ms(NOW_MS, full), 1_000)


class ChoiceTests(unittest.TestCase):
    """The choice between a replica with cached blocks, an import and recomputing."""

    def choose(self, planner, *candidates):
        router = Router("d", seed=1, estimate=planner)
        router.set_replicas(list(candidates))
        return router.choose(NOW_MS, SHAPE)

    def test_idle_replica_with_the_blocks_is_chosen(self):
        planner = placement({"holder": 200}, [StoredRun("s", 0, 200)])
        chosen = self.choose(planner, candidate("holder"), candidate("other"))
        self.assertEqual(chosen, "holder")

    def test_other_replica_imports_if_the_one_with_the_blocks_is_busy(self):
        planner = placement({"holder": 200}, [StoredRun("s", 0, 200)])
        chosen = self.choose(planner, candidate("holder", 20_000), candidate("other"))
        self.assertEqual(chosen, "other")

    def test_run_waits_for_the_replica_with_the_blocks_if_the_wait_is_short(self):
        planner = placement({"holder": 200})
        chosen = self.choose(planner, candidate("holder", 8_000), candidate("other"))
        self.assertEqual(chosen, "holder")

    def test_other_replica_recomputes_if_the_wait_is_long(self):
        planner = placement({"holder": 200})
        chosen = self.choose(planner, candidate("holder", 40_000), candidate("other"))
        self.assertEqual(chosen, "other")

    def test_compute_weight_allows_a_longer_wait_for_the_cached_blocks(self):
        planner = placement({"holder": 200}, weight=3.0)
        chosen = self.choose(planner, candidate("holder", 40_000), candidate("other"))
        self.assertEqual(chosen, "holder")
