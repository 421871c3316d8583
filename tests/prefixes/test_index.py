"""What may be fetched from a store, by its events."""

import unittest

from fireflyward.prefixes import KvEvent, KvUpdate, PartKey, StoreIndex

KEY = PartKey("m~1", "p")


def news(*events, epoch=1, next_event=1, **options):
    return KvUpdate(epoch, events, next_event, **options)


class IndexTests(unittest.TestCase):
    def setUp(self):
        self.index = StoreIndex("a:1", 1_000)
        self.index.take(news())

    def test_only_whole_parts_are_fetched(self):
        """Symptom: an answer made from memory that was still being written.

        A part is asked for right after its save began; the store checks nothing.
        """
        self.assertTrue(self.index.may_save(0, KEY, 100))
        self.assertFalse(self.index.has(KEY))
        self.index.take(news(KvEvent(KEY, 100)))
        self.assertTrue(self.index.has(KEY))

    def test_a_part_is_saved_once(self):
        self.assertTrue(self.index.may_save(0, KEY, 100))
        self.assertFalse(self.index.may_save(1_000, KEY, 100))
        self.assertTrue(self.index.may_save(4_000, KEY, 100))

    def test_a_store_that_restarted_is_empty(self):
        self.index.take(news(KvEvent(KEY, 100)))
        self.index.take(news(epoch=2))
        self.assertFalse(self.index.has(KEY))

    def test_a_silent_store_is_not_fetched_from(self):
        self.index.take(news(KvEvent(KEY, 100)))
        self.index.on_silence()
        self.assertFalse(self.index.has(KEY))
        self.index.take(news())
        self.assertTrue(self.index.has(KEY))

    def test_a_full_store_takes_no_saves(self):
        self.index.take(news(KvEvent(KEY, 900)))
        self.assertFalse(self.index.may_save(0, PartKey("m~1", "q"), 100))
        self.index.take(news(KvEvent(KEY, 0)))
        self.assertTrue(self.index.may_save(0, PartKey("m~1", "q"), 100))

    def test_a_gap_asks_for_the_whole_list(self):
        self.assertFalse(self.index.take(news(has_gap=True)))
        whole = news(KvEvent(KEY, 100), is_snapshot=True, next_event=9)
        self.assertTrue(self.index.take(whole))
        self.assertTrue(self.index.has(KEY))
        self.assertEqual(self.index.next_event, 9)

    def test_nothing_is_saved_until_all_nodes_know_of_a_restart(self):
        """Symptom: an answer made from memory that was half written.

        A store restarts empty. One node knows and saves a part anew, another still
        believes that it is whole there and fetches it meanwhile.
        """
        self.index.restart(2, no_saves_until_ms=3_000)
        self.index.take(news(epoch=2, next_event=0))
        self.assertFalse(self.index.may_save(2_999, KEY, 100))
        self.assertTrue(self.index.may_save(3_000, KEY, 100))

    def test_a_restarted_store_is_empty(self):
        self.index.take(news(KvEvent(KEY, 100)))
        self.index.restart(2, no_saves_until_ms=0)
        self.assertFalse(self.index.has(KEY))
        self.assertEqual(self.index.next_event, 0)
