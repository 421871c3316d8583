import unittest

from fireflyward.placement import KeepOffer, Piece, home_store, spread

STORES = ("s-1", "s-2", "s-3")


def offer(key, first, is_shared=False):
    return KeepOffer(Piece(key, first), "a", 1.0, 1.0, is_shared)


class SpreadTests(unittest.TestCase):
    def test_shared_pieces_go_everywhere_and_the_rest_of_a_prompt_to_one(self):
        offers = [offer("aa", 0, True), offer("bb", 4), offer("cc", 8)]
        placed = spread(offers, STORES)
        self.assertEqual([name for name, o in placed if o.is_shared], list(STORES))
        self.assertEqual(
            {name for name, o in placed if not o.is_shared}, {home_store("bb", STORES)}
        )

    def test_taking_a_store_away_moves_only_its_own(self):
        for number in range(200):
            before = home_store(f"{number:032x}", STORES)
            after = home_store(f"{number:032x}", STORES[:2])
            if before != "s-3":
                self.assertEqual(before, after)

    def test_without_stores_nothing_is_kept(self):
        self.assertEqual(spread([offer("aa", 0)], ()), [])
