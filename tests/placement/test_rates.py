import unittest

from fireflyward.placement import LinkRates, Tier

INITIAL = 1_000.0
MINUTE_MS = 60_000.0


class LinkRatesTests(unittest.TestCase):
    def setUp(self):
        self.rates = LinkRates(INITIAL)

    def rate(self, now_ms, tier=Tier.MEMORY):
        return self.rates.bytes_per_ms(now_ms, "s", tier)

    def test_rate_moves_to_what_is_measured_and_tiers_differ(self):
        for number in range(40):
            self.rates.on_measured(number, "s", Tier.MEMORY, 1_000, 10.0)
        self.assertAlmostEqual(self.rate(40), 100, delta=1)
        self.assertEqual(self.rate(40, Tier.DISK), INITIAL)

    def test_slow_measurement_is_forgotten_so_that_the_link_is_tried_again(self):
        """Symptom: a store is never used again after one slow hour. Sequence: the
        link slows down, imports stop, nothing measures its recovery. Cause: the
        old rate was believed for ever."""
        for number in range(40):
            self.rates.on_measured(number, "s", Tier.MEMORY, 1_000, 100.0)
        self.assertLess(self.rate(MINUTE_MS), INITIAL / 10)
        self.assertEqual(self.rate(20 * MINUTE_MS), INITIAL)

    def test_dead_store_is_left_alone_longer_each_time_and_probed(self):
        waits = []
        now_ms = 0
        for _ in range(8):
            self.rates.on_no_data(now_ms, "s")
            began_ms = now_ms
            while not self.rates.is_available(now_ms, "s"):
                now_ms += 500
            waits.append(now_ms - began_ms)
        self.assertEqual(waits[:4], [1_000, 2_000, 4_000, 8_000])
        self.assertEqual(waits[-1], 60_000)
        self.rates.on_measured(now_ms, "s", Tier.MEMORY, 10, 1.0)
        self.rates.on_no_data(now_ms, "s")
        self.assertTrue(self.rates.is_available(now_ms + 1_000, "s"))

    def test_bytes_in_flight_are_counted_on_and_off(self):
        self.rates.on_start("s", 70)
        self.rates.on_end("s", 50)
        self.assertEqual(self.rates.in_flight_bytes("s"), 20)
