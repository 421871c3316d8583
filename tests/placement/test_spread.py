import unittest

from fireflyward.placement import (
    KeepOffer,
    Piece,
    anchor_key,
    assign_stores,
    preferred_store,
)

STORES = ("s-1", "s-2", "s-3")


def offer(key, first, is_shared=False):
    return KeepOffer(Piece(key, first), "a", 1.0, 1.0, is_shared)


KEYS = tuple(f"{number:032x}" for number in range(40))


class SpreadTests(unittest.TestCase):
    def test_prompt_has_one_home_and_shared_pieces_a_cheaper_copy_elsewhere(self):
        offers = [offer("aa", 0, True), offer("bb", 4), offer("cc", 8)]
        placed = assign_stores(offers, KEYS, STORES)
        home = preferred_store(anchor_key(KEYS), STORES)
        self.assertEqual({name for name, item in placed if item.reuses == 1.0}, {home})
        copies = [(name, item) for name, item in placed if name != home]
        self.assertEqual({item.piece.key for _, item in copies}, {"aa"})
        self.assertEqual(len(copies), 2)
        self.assertTrue(all(item.reuses < 0.1 for _, item in copies))

    def test_all_questions_about_one_document_have_one_home(self):
        """Symptom: half of a document in one store, half in the other. Sequence:
        questions of different lengths are asked. Cause: the home followed from
        the question."""
        anchors = {anchor_key(KEYS[:blocks]) for blocks in range(22, 41)}
        self.assertEqual(anchors, {KEYS[15]})

    def test_taking_a_store_away_moves_only_its_own(self):
        for number in range(200):
            before = preferred_store(f"{number:032x}", STORES)
            after = preferred_store(f"{number:032x}", STORES[:2])
            if before != "s-3":
                self.assertEqual(before, after)

    def test_without_stores_nothing_is_kept(self):
        self.assertEqual(assign_stores([offer("aa", 0)], KEYS, ()), [])
