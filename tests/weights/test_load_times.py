"""When a replica is polled after an order to load."""

import unittest

from fireflyward.weights._load_times import LoadTimes


class LoadTimesTests(unittest.TestCase):
    def test_a_short_load_is_detected_within_a_fifth_of_a_second(self):
        """Guards against a rollout over six replicas in four seconds instead of two.

        Each load takes 0.4 s, and with a first poll after a fixed second the next pair
        of replicas started late: the four others served all requests for twice as
        long as needed.
        """
        times = LoadTimes()
        ends_ms = _rollout_duration_ms(times, load_ms=410.0, rounds=3)
        self.assertLess(ends_ms, 3 * 500.0)

    def test_long_loads_are_not_polled_from_the_start(self):
        times = LoadTimes()
        for _ in range(5):
            times.on_loaded(1_300.0)
        self.assertAlmostEqual(times.first_poll_ms, 910.0)

    def test_a_longer_load_does_not_delay_the_next_first_poll(self):
        times = LoadTimes()
        times.on_loaded(500.0)
        times.on_loaded(4_000.0)
        self.assertEqual(times.first_poll_ms, 350.0)


def _rollout_duration_ms(times, *, load_ms, rounds, poll_ms=80.0):
    """Return the duration of consecutive rounds of loads."""
    total_ms = 0.0
    for _ in range(rounds):
        seen_ms = times.first_poll_ms
        while seen_ms < load_ms:
            seen_ms += poll_ms
        times.on_loaded(seen_ms)
        total_ms += seen_ms
    return total_ms
