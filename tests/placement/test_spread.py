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


class AssignStoresTests(unittest.TestCase):
    def test_prompt_has_one_preferred_store_and_shared_pieces_cheaper_copies(self):
        offers = [offer("aa", 0, True), offer("bb", 4), offer("cc", 8)]
        placed = assign_stores(offers, KEYS, STORES)
        preferred = preferred_store(anchor_key(KEYS), STORES)
        self.assertEqual(
            {name for name, item in placed if item.reuses == 1.0}, {preferred}
        )
        copies = [(name, item) for name, item in placed if name != preferred]
        self.assertEqual({item.piece.key for _, item in copies}, {"aa"})
        self.assertEqual(len(copies), 2)
        self.assertTrue(all(item.reuses < 0.1 for _, item in copies))

    def test_questions_about_one_document_have_the_same_preferred_store(self):
        """One half of a document was in one store and one half in another. The
        preferred store depended on the length of the question."""
        anchors = {anchor_key(KEYS[:blocks]) for blocks in range(22, 41)}
        self.assertEqual(anchors, {KEYS[15]})

    def test_removed_store_moves_only_its_own_keys(self):
        for number in range(200):
            before = preferred_store(f"{number:032x}", STORES)
            after = preferred_store(f"{number:032x}", STORES[:2])
            if before != "s-3":
                self.assertEqual(before, after)

    def test_no_pieces_are_assigned_without_stores(self):
        self.assertEqual(assign_stores([offer("aa", 0)], KEYS, ()), [])
