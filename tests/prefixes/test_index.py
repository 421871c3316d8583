"""The events of a store decide which parts are fetched from it and saved to it."""

import unittest

from fireflyward.prefixes import KvEvent, KvUpdate, PartKey, StoreIndex

KEY = PartKey("m~1", "p")


def update(*events, epoch=1, next_event=1, **options):
    return KvUpdate(epoch, events, next_event, **options)


class IndexTests(unittest.TestCase):
    def setUp(self):
        self.index = StoreIndex("a:1", 1_000)
        self.index.apply(update())

    def test_only_complete_parts_are_fetched(self):
        """Guards against an answer computed from memory that is still being written.

        A part is fetched right after its save began, and the store does not check
        whether the save is complete.
        """
        self.assertTrue(self.index.reserve_save(0, KEY, 100))
        self.assertFalse(self.index.has(KEY))
        self.index.apply(update(KvEvent(KEY, 100)))
        self.assertTrue(self.index.has(KEY))

    def test_a_part_is_saved_once(self):
        self.assertTrue(self.index.reserve_save(0, KEY, 100))
        self.assertFalse(self.index.reserve_save(1_000, KEY, 100))
        self.assertTrue(self.index.reserve_save(4_000, KEY, 100))

    def test_a_store_that_restarted_is_empty(self):
        self.index.apply(update(KvEvent(KEY, 100)))
        self.index.apply(update(epoch=2))
        self.assertFalse(self.index.has(KEY))

    def test_nothing_is_fetched_from_an_unreachable_store(self):
        self.index.apply(update(KvEvent(KEY, 100)))
        self.index.on_unreachable()
        self.assertFalse(self.index.has(KEY))
        self.index.apply(update())
        self.assertTrue(self.index.has(KEY))

    def test_nothing_is_saved_to_a_full_store(self):
        self.index.apply(update(KvEvent(KEY, 900)))
        self.assertFalse(self.index.reserve_save(0, PartKey("m~1", "q"), 100))
        self.index.apply(update(KvEvent(KEY, 0)))
        self.assertTrue(self.index.reserve_save(0, PartKey("m~1", "q"), 100))

    def test_a_gap_requires_a_snapshot(self):
        self.assertFalse(self.index.apply(update(has_gap=True)))
        snapshot = update(KvEvent(KEY, 100), is_snapshot=True, next_event=9)
        self.assertTrue(self.index.apply(snapshot))
        self.assertTrue(self.index.has(KEY))
        self.assertEqual(self.index.next_event, 9)

    def test_nothing_is_saved_until_all_nodes_have_detected_a_restart(self):
        """Guards against an answer computed from memory that is only half written.

        A store restarts empty. One node has detected the restart and saves a part
        again, while another node still assumes that the store holds the part, and
        fetches it.
        """
        self.index.restart(2, no_saves_until_ms=3_000)
        self.index.apply(update(epoch=2, next_event=0))
        self.assertFalse(self.index.reserve_save(2_999, KEY, 100))
        self.assertTrue(self.index.reserve_save(3_000, KEY, 100))

    def test_a_restart_clears_the_index(self):
        self.index.apply(update(KvEvent(KEY, 100)))
        self.index.restart(2, no_saves_until_ms=0)
        self.assertFalse(self.index.has(KEY))
        self.assertEqual(self.index.next_event, 0)
