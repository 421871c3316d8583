"""Periods in which the process did not run."""

import unittest

from fireflyward.clock import ManualClock, Standstills


class StandstillTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standstills = Standstills(clock=ManualClock())

    def tick(self, *times_ms):
        for now_ms in times_ms:
            self.standstills.on_tick(now_ms)

    def test_a_process_that_runs_has_lost_nothing(self):
        self.tick(1_000, 1_200, 1_410)
        self.assertEqual(self.standstills.lost_ms(1_600, since_ms=0), 0)
        self.assertFalse(self.standstills.has_backlog(1_600))

    def test_a_standstill_counts_before_the_timer_has_run(self):
        """Guards against fresh-looking messages that are read before the timer runs."""
        self.tick(1_000)
        self.assertTrue(self.standstills.has_backlog(6_200))
        self.assertEqual(self.standstills.lost_ms(6_200, since_ms=900), 5_000)

    def test_what_had_arrived_is_read_for_a_while(self):
        self.tick(1_000, 6_200)
        self.assertTrue(self.standstills.has_backlog(6_349))
        self.assertFalse(self.standstills.has_backlog(6_350))

    def test_a_slow_process_loses_time_without_a_standstill(self):
        self.tick(*range(0, 6_000, 600))
        self.assertEqual(self.standstills.lost_ms(5_400, since_ms=0), 9 * 400)
        self.assertEqual(self.standstills.count, 0)

    def test_standstills_of_more_than_a_minute_ago_are_forgotten(self):
        self.tick(0, 5_000, 66_000)
        self.assertEqual(self.standstills.lost_ms(66_000, since_ms=0), 60_800)
