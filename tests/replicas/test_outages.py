"""When a missing entry may only have expired in an outage of the store."""

import unittest

from fireflyward.replicas import StoreOutages


class StoreOutageTests(unittest.TestCase):
    def setUp(self):
        self.outages = StoreOutages(heartbeat_ms=1_200)

    def answer(self, now_ms, unavailable_ms, failed_calls=3):
        self.outages.on_answer(
            now_ms, unavailable_ms=unavailable_ms, failed_calls=failed_calls
        )

    def is_kept(self, now_ms):
        return self.outages.keep_until_ms(now_ms) is not None

    def test_without_an_outage_a_missing_replica_has_left(self):
        self.answer(1_000, 0, 0)
        self.assertFalse(self.is_kept(1_000))

    def test_failures_in_which_no_entry_can_expire_are_no_outage(self):
        """Guards against a node that takes its own failed reads for an outage."""
        for now_ms in range(10_000, 60_000, 2_400):
            self.answer(now_ms, 1_199)
            self.assertFalse(self.is_kept(now_ms))
        self.answer(90_000, 2_399)
        self.assertFalse(self.is_kept(90_000))

    def test_the_time_to_return_counts_from_the_end_of_the_outage(self):
        """Guards against a time that starts anew with each entry that is missing."""
        self.answer(10_000, 3_000)
        for now_ms in (10_000, 10_700, 11_999):
            self.answer(now_ms, 0, 0)
            self.assertEqual(self.outages.keep_until_ms(now_ms), 12_300)
        self.assertFalse(self.is_kept(12_000))

    def test_outages_between_which_no_entry_may_be_renewed_count_as_one(self):
        """Guards against dropping all replicas when the store is back only briefly."""
        self.answer(10_000, 1_500)
        self.assertFalse(self.is_kept(10_000))
        self.answer(11_600, 1_500)
        self.assertTrue(self.is_kept(11_600))

    def test_failed_calls_with_others_between_them_are_no_outage(self):
        """Guards against two lost answers of one node that count as one outage."""
        self.answer(10_000, 1_500, 1)
        self.answer(12_600, 1_500, 1)
        self.answer(14_200, 1_500, 1)
        self.assertFalse(self.is_kept(14_200))

    def test_a_single_failed_call_that_takes_long_is_no_outage(self):
        """Guards against a lost answer that counts as an outage with the waits."""
        self.answer(10_000, 2_600, 1)
        self.assertFalse(self.is_kept(10_000))

    def test_a_node_that_stood_still_while_entries_expired_keeps_them(self):
        self.answer(10_000, 3_600, 1)
        self.assertTrue(self.is_kept(10_000))

    def test_short_outages_with_time_to_renew_between_them_count_separately(self):
        self.answer(10_000, 1_500)
        self.answer(12_700, 1_500)
        self.assertFalse(self.is_kept(12_700))

    def test_a_short_failure_does_not_shorten_the_time_after_an_outage(self):
        self.answer(10_000, 3_000)
        self.answer(11_000, 300)
        self.assertEqual(self.outages.keep_until_ms(11_000), 12_300)

    def test_a_restored_store_may_lack_entries(self):
        self.outages.on_restored(10_000)
        self.assertEqual(self.outages.keep_until_ms(10_500), 12_300)
