import unittest

from fireflyward.standins import ChunkedEngineModel, EngineCosts
from fireflyward.upstreams import EngineCall

COSTS = EngineCosts(prefill_ms_per_token=0.1, decode_ms_per_token=5.0)


def call(run_id, tokens, *, priority=5):
    return EngineCall(run_id, "m", "v1", "x" * 4 * tokens, 4, priority=priority)


class ChunkedEngineModelTests(unittest.TestCase):
    def setUp(self):
        self.model = ChunkedEngineModel({"m": "v1"}, COSTS)

    def first_token_ms(self, run_id):
        self.model.advance(10_000)
        return self.model.run_by_id[run_id].first_token_ms

    def test_chunked_prefill_takes_as_long_as_a_single_prefill(self):
        self.model.submit(0, call("a", 2_000))
        self.assertAlmostEqual(self.first_token_ms("a"), 200.0)

    def test_equal_priorities_are_served_in_the_order_of_arrival(self):
        self.model.submit(0, call("a", 1_000))
        self.model.submit(0, call("b", 1_000))
        self.assertAlmostEqual(self.first_token_ms("a"), 100.0)
        self.assertAlmostEqual(self.first_token_ms("b"), 200.0)

    def test_run_with_better_priority_waits_for_one_chunk_only(self):
        self.model.submit(0, call("a", 10_000, priority=6))
        self.model.submit(60, call("b", 100))
        self.assertAlmostEqual(self.first_token_ms("b"), 102.4 + 10.0)
        self.assertAlmostEqual(self.first_token_ms("a"), 1_010.0)

    def test_cancelled_prefill_stops_after_its_current_chunk(self):
        self.model.submit(0, call("a", 10_000))
        self.model.submit(0, call("b", 1_000))
        self.model.cancel(10, "a")
        self.assertAlmostEqual(self.first_token_ms("b"), 51.2 + 100.0)

    def test_report_counts_tokens_not_yet_prefilled(self):
        self.model.submit(0, call("a", 1_000))
        self.assertEqual(self.model.report(50).queued_prefill_tokens, 500)

    def test_next_ms_is_the_time_of_the_next_change(self):
        self.model.submit(0, call("a", 1_000))
        self.assertAlmostEqual(self.model.next_ms(), 51.2)
