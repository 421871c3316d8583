import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.placement import Import, ImportWatch

BLOCK_MS = 16.0
ALLOWANCE_MS = 50.0


class ImportWatchTests(unittest.TestCase):
    def test_store_that_delivers_nothing_costs_only_the_allowance(self):
        """First tokens were late by a whole timeout. The store had crashed after the
        plan was made, and the prompt waited for blocks that never arrived."""
        watch = ImportWatch(0, Import("s", 0, 100, BLOCK_MS, ALLOWANCE_MS))
        self.assertEqual(watch.abort_at_ms(), ALLOWANCE_MS)
        self.assertFalse(watch.is_complete())

    def test_wait_in_the_queue_is_added_to_the_allowed_time(self):
        plan = Import("s", 0, 100, BLOCK_MS, ALLOWANCE_MS)
        watch = ImportWatch(0, plan, queue_ms=400)
        self.assertEqual(watch.abort_at_ms(), 400 + ALLOWANCE_MS)

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(st.floats(0.1, 500), min_size=1, max_size=40))
    def test_never_later_than_computing_by_more_than_the_allowance(self, gaps):
        """Blocks arrive after any gaps. Whenever the import is aborted, computing the
        missing blocks ends within the allowance of computing all blocks."""
        watch = ImportWatch(0, Import("s", 0, len(gaps), BLOCK_MS, ALLOWANCE_MS))
        now_ms, arrived = 0.0, 0
        for gap in gaps:
            if now_ms + gap > watch.abort_at_ms():
                now_ms = watch.abort_at_ms()
                break
            now_ms += gap
            arrived += 1
            watch.on_blocks(1)
        ends_ms = now_ms + (len(gaps) - arrived) * BLOCK_MS
        self.assertLessEqual(ends_ms, len(gaps) * BLOCK_MS + ALLOWANCE_MS + 1e-6)
