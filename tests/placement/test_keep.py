import hashlib
import unittest

from fireflyward.placement import PIECE_BLOCKS, KeepPolicy, ServedPrompt

MINUTE_MS = 60_000.0


def chain(name, blocks, parent=()):
    keys = list(parent)
    for number in range(blocks):
        seed = f"{keys[-1] if keys else ''}/{name}/{number}"
        keys.append(hashlib.blake2b(seed.encode(), digest_size=16).hexdigest())
    return tuple(keys)


class KeepPolicyTests(unittest.TestCase):
    def setUp(self):
        self.policy = KeepPolicy()
        self.clauses = chain("clauses", 16)

    def serve(self, keys, account="a", now_ms=0.0, **options):
        return self.policy.on_prompt(now_ms, ServedPrompt(account, keys, **options))

    def test_shared_prefix_is_offered_first_and_marked_as_shared(self):
        for number in range(4):
            offers = self.serve(chain(number, 8, self.clauses))
        self.assertEqual([o.piece.first for o in offers[:4]], [0, 4, 8, 12])
        self.assertTrue(all(offer.is_shared for offer in offers[:4]))
        self.assertFalse(any(offer.is_shared for offer in offers[4:]))

    def test_pieces_that_a_store_has_are_not_offered_again(self):
        offers = self.serve(self.clauses, kept_blocks=8)
        self.assertEqual({offer.piece.first for offer in offers}, {8, 12})

    def test_account_that_repeats_no_prompt_soon_exports_nothing(self):
        """The kept blocks of all other accounts were evicted. One account sent
        thousands of prompts once each, and every new prompt was exported in case it
        would be repeated."""
        first = self.serve(chain("scan", 32), "scanner")
        self.assertTrue(first)
        for number in range(600):
            last = self.serve(chain(("scan", number), 32), "scanner", number)
        self.assertEqual(last, [])
        self.assertTrue(self.serve(chain("b", 32), "b"))

    def test_prompts_likely_to_be_repeated_are_offered_at_the_first_use(self):
        for number in range(100):
            keys = chain(number, 32)
            self.serve(keys, now_ms=number * MINUTE_MS)
            self.serve(keys, now_ms=(number + 30) * MINUTE_MS)
        offers = self.serve(chain("new", 32), now_ms=200 * MINUTE_MS)
        self.assertEqual(len(offers), 32 // PIECE_BLOCKS)
        self.assertGreater(offers[0].reuses, 0.8)
        self.assertAlmostEqual(offers[0].gap_ms / MINUTE_MS, 30, delta=2)

    def test_hint_takes_precedence_over_the_estimate(self):
        for number in range(600):
            self.serve(chain(("scan", number), 32), "scanner", number)
        offers = self.serve(chain("named", 32), "scanner", hinted_blocks=16)
        self.assertEqual({offer.piece.first for offer in offers}, {0, 4, 8, 12})
