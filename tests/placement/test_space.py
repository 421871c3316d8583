import hashlib
import random
import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.placement import Admit, Decline, KeepOffer, Piece, StoreSpace, Tier

HOUR_MS = 3_600_000.0


def key_of(name):
    return hashlib.blake2b(str(name).encode(), digest_size=16).hexdigest()


def offer(name, account="a", reuses=1.0, first=0):
    return KeepOffer(Piece(key_of(name), first), account, reuses, HOUR_MS, False)


class StoreSpaceTests(unittest.TestCase):
    def setUp(self):
        self.space = StoreSpace(memory_pieces=10, disk_pieces=90)

    def fill(self, account, count, reuses, now_ms=0.0):
        return [
            self.space.offer(now_ms, offer((account, number), account, reuses))
            for number in range(count)
        ]

    def test_piece_is_moved_to_disk_and_back_to_memory_when_used(self):
        self.fill("a", 11, 1.0)
        self.assertEqual(self.space.used(Tier.DISK), 1)
        (demoted,) = (
            key_of(("a", n))
            for n in range(11)
            if self.space.tier(key_of(("a", n))) is Tier.DISK
        )
        self.assertTrue(self.space.touch(HOUR_MS, demoted, 5.0))
        self.assertIs(self.space.tier(demoted), Tier.MEMORY)
        self.assertEqual(self.space.used(Tier.MEMORY), 10)

    def test_full_store_declines_the_least_valuable_piece(self):
        self.fill("a", 100, 2.0)
        self.assertEqual(self.space.offer(0, offer("x", reuses=0.5)), Decline())
        self.assertEqual(len(self.space), 100)

    def test_full_store_evicts_for_a_more_valuable_piece(self):
        self.fill("a", 100, 0.5)
        result = self.space.offer(0, offer("x", "b", reuses=2.0))
        self.assertIsInstance(result, Admit)
        self.assertEqual(len(result.evicted), 1)
        self.assertEqual(len(self.space), 100)

    def test_large_account_does_not_displace_the_others(self):
        """Small accounts had to recompute everything. A large account had offered many
        times the store's size in pieces as valuable as those of the others, and
        eviction considered only the value of a piece and not its account."""
        for number in range(3):
            self.fill(f"small-{number}", 10, 1.0)
        for number in range(1_000):
            name = ("large", number)
            self.space.offer(number, offer(name, "large", 1.5))
        self.assertLessEqual(self.space.account_pieces("large"), 70)
        for number in range(1_000, 3_000):
            name = ("large", number)
            self.space.offer(number, offer(name, "large", 1.5))
        kept = sum(self.space.account_pieces(f"small-{n}") for n in range(3))
        self.assertEqual(kept, 30)

    def test_unused_pieces_lose_value(self):
        self.fill("a", 100, 2.0)
        result = self.space.offer(24 * HOUR_MS, offer("x", "b", reuses=0.5))
        self.assertIsInstance(result, Admit)

    def test_later_one_of_equally_valuable_pieces_is_demoted(self):
        """A block cannot be used without the blocks before it."""
        for number in range(12):
            self.space.offer(0, offer(number, first=4 * number))
        demoted = [n for n in range(12) if self.space.tier(key_of(n)) is Tier.DISK]
        self.assertGreater(min(demoted), 5)


class StoreSpaceProperties(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=100)
    @given(st.integers(1, 6), st.integers(0, 12), st.integers(0, 2**32))
    def test_counts_match_the_stored_pieces(self, memory, disk, seed):
        """After any offers, uses and removals, no tier exceeds its size, every admitted
        piece that was not evicted is stored, and the counts per account are right."""
        source = random.Random(seed)
        space = StoreSpace(memory_pieces=memory, disk_pieces=disk, seed=seed)
        account_by_key = {}
        for step in range(200):
            name, account = source.randrange(40), source.choice("abc")
            now_ms = step * HOUR_MS / 10
            if source.random() < 0.6:
                item = offer((name, account), account, source.uniform(0.1, 5), name)
                result = space.offer(now_ms, item)
                if isinstance(result, Admit):
                    account_by_key[item.piece.key] = account
                    for key in result.evicted:
                        del account_by_key[key]
            elif source.random() < 0.7:
                space.touch(
                    now_ms, key_of((name, account)), 1.0, is_read=bool(step % 2)
                )
            else:
                space.remove(key_of((name, account)))
                account_by_key.pop(key_of((name, account)), None)
            self.assertLessEqual(space.used(Tier.MEMORY), memory)
            self.assertLessEqual(space.used(Tier.DISK), disk)
            self.assertEqual(len(space), len(account_by_key))
            for name in "abc":
                stored = list(account_by_key.values()).count(name)
                self.assertEqual(space.account_pieces(name), stored)
            self.assertTrue(all(space.tier(key) for key in account_by_key))
