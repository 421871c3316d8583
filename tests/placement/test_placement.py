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
    def __init__(self, held=None, stored=()):
        self.prefixes = PrefixLocations(held or {}, tuple(stored))

    def locate(self, now_ms, shape):
        return self.prefixes


def candidate(name, queued_tokens=0, at_ms=NOW_MS):
    report = LoadReport(0, 0, queued_tokens, 100, {"m": "v1"})
    return Candidate(
        name, "d", ("m",), {"m": "v1"}, report, at_ms, ms_per_token=MS_PER_TOKEN
    )


def placement(held=None, stored=(), weight=0.0):
    costs = PlacementCosts(BLOCK_BYTES, link_bytes_per_ms=LINK, compute_weight=weight)
    return Placement(costs, FixedIndex(held, stored))


class EstimateTests(unittest.TestCase):
    def test_nothing_is_known(self):
        estimate = placement().estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Recompute())
        self.assertEqual(estimate.first_token_ms, SHAPE.prompt_tokens * MS_PER_TOKEN)

    def test_replica_computes_only_what_it_does_not_hold(self):
        estimate = placement({"r": 150}).estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Reuse(150))
        self.assertEqual(estimate.first_token_ms, (50 * 64 + 20) * MS_PER_TOKEN)

    def test_import_loads_what_follows_the_held_prefix(self):
        stored = [StoredRun("s", 0, 180)]
        estimate = placement({"r": 20}, stored).estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual((estimate.plan.first, estimate.plan.blocks), (20, 160))
        self.assertEqual(estimate.reused_blocks, 180)

    def test_second_store_is_weighed_against_recomputing_and_not_the_first(self):
        """Symptom: prompts recomputed though a store has them. Sequence: two
        stores hold a prefix, the second a short one. Cause: the second way was
        taken to save on top of the first, and looked better than it."""
        stored = [StoredRun("long", 0, 200), StoredRun("short", 0, 100)]
        estimate = placement(stored=stored).estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan.store, "long")

    def test_slow_link_loads_only_what_fits_into_the_queue(self):
        """Loading a block takes longer than computing it, but the queue's wait is
        there anyway: part is loaded meanwhile, the rest computed."""
        place = placement(stored=[StoredRun("s", 0, 200)])
        for _ in range(60):
            place.links.on_measured(NOW_MS, "s", Tier.MEMORY, BLOCK_BYTES, 40.0)
        idle = place.estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(idle.plan, Recompute())
        busy = place.estimate(NOW_MS, candidate("r", 8_000), SHAPE)
        self.assertAlmostEqual(busy.plan.blocks, 8_000 * MS_PER_TOKEN / 40, delta=2)
        self.assertLess(busy.first_token_ms, 2_000 + 3_205)

    def test_dead_store_is_not_planned_for(self):
        place = placement(stored=[StoredRun("s", 0, 200)])
        place.links.on_no_data(NOW_MS, "s")
        estimate = place.estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Recompute())

    def test_import_whose_first_block_would_come_too_late_is_not_begun(self):
        """What this node already moves over the link stands before the import."""
        place = placement(stored=[StoredRun("s", 0, 200)])
        place.links.on_start("s", 50 * BLOCK_BYTES)
        estimate = place.estimate(NOW_MS, candidate("r"), SHAPE)
        self.assertEqual(estimate.plan, Recompute())

    def test_allowance_keeps_every_import_within_5_percent_of_recomputing(self):
        for held in range(0, BLOCKS, 13):
            place = placement({"r": held}, [StoredRun("s", 0, 200)])
            estimate = place.estimate(NOW_MS, candidate("r"), SHAPE)
            if isinstance(estimate.plan, Import):
                recompute_ms = (SHAPE.prompt_tokens - 64 * held) * MS_PER_TOKEN
                self.assertLessEqual(estimate.plan.allowance_ms, 0.05 * recompute_ms)


class QueueTests(unittest.TestCase):
    def test_reported_backlog_shrinks_with_age_and_own_starts_add_to_it(self):
        place = placement()
        old = candidate("r", 8_000, at_ms=NOW_MS - 500)
        self.assertEqual(place.queue_ms(NOW_MS, old), 1_500)
        place.on_start(NOW_MS, place.estimate(NOW_MS, old, SHAPE))
        self.assertEqual(
            place.queue_ms(NOW_MS, old), 1_500 + SHAPE.prompt_tokens * MS_PER_TOKEN
        )
        reported = candidate("r", 0, at_ms=NOW_MS + 1)
        self.assertEqual(place.queue_ms(NOW_MS + 1, reported), 0)

    def test_wait_for_a_place_among_the_decoding_runs_counts(self):
        place = placement()
        place.on_end("r", 2_000)
        full = candidate("r")
        full.report = LoadReport(8, 16, 0, 0, {"m": "v1"})
        self.assertEqual(place.queue_ms(NOW_MS, full), 1_000)


class ChoiceTests(unittest.TestCase):
    """The choice between the holder, an importer and one that recomputes."""

    def choose(self, place, *candidates):
        router = Router("d", seed=1, estimate=place)
        router.set_replicas(list(candidates))
        return router.choose(NOW_MS, SHAPE)

    def test_idle_holder_is_best(self):
        place = placement({"holder": 200}, [StoredRun("s", 0, 200)])
        chosen = self.choose(place, candidate("holder"), candidate("other"))
        self.assertEqual(chosen, "holder")

    def test_other_imports_while_the_holder_is_busy(self):
        place = placement({"holder": 200}, [StoredRun("s", 0, 200)])
        chosen = self.choose(place, candidate("holder", 20_000), candidate("other"))
        self.assertEqual(chosen, "other")

    def test_holder_is_waited_for_if_the_store_is_gone_and_it_is_soon_free(self):
        place = placement({"holder": 200})
        chosen = self.choose(place, candidate("holder", 8_000), candidate("other"))
        self.assertEqual(chosen, "holder")

    def test_other_recomputes_if_the_holder_is_busy_for_longer(self):
        place = placement({"holder": 200})
        chosen = self.choose(place, candidate("holder", 40_000), candidate("other"))
        self.assertEqual(chosen, "other")

    def test_weight_of_computing_makes_a_longer_wait_for_the_holder_worth_it(self):
        place = placement({"holder": 200}, weight=3.0)
        chosen = self.choose(place, candidate("holder", 40_000), candidate("other"))
        self.assertEqual(chosen, "holder")
