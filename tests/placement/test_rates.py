import unittest

from fireflyward.placement import LinkRates, Tier

INITIAL = 1_000.0
MINUTE_MS = 60_000.0


class LinkRatesTests(unittest.TestCase):
    def setUp(self):
        self.rates = LinkRates(INITIAL)

    def rate(self, now_ms, tier=Tier.MEMORY):
        return self.rates.bytes_per_ms(now_ms, "s", tier)

    def test_rate_follows_measurements_separately_for_each_tier(self):
        for number in range(40):
            self.rates.on_measured(number, "s", Tier.MEMORY, 1_000, 10.0)
        self.assertAlmostEqual(self.rate(40), 100, delta=1)
        self.assertEqual(self.rate(40, Tier.DISK), INITIAL)

    def test_low_rate_recovers_without_measurements(self):
        """A store was never used again after its link had been slow for an hour. The
        low rate stopped all imports, so no measurement showed that the link had
        recovered, and the low rate did not expire."""
        for number in range(40):
            self.rates.on_measured(number, "s", Tier.MEMORY, 1_000, 100.0)
        self.assertLess(self.rate(MINUTE_MS), INITIAL / 10)
        self.assertEqual(self.rate(20 * MINUTE_MS), INITIAL)

    def test_backoff_from_a_failing_store_doubles_until_it_delivers(self):
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

    def test_bytes_in_flight_are_added_and_subtracted(self):
        self.rates.on_start("s", 70)
        self.rates.on_end("s", 50)
        self.assertEqual(self.rates.in_flight_bytes("s"), 20)
