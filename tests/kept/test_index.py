import unittest

from fireflyward.kept import HeldRun, PrefixIndex, StoreChange, shard_of

KEYS = tuple(f"{number:02x}" * 16 for number in range(1, 41))
SHARD = shard_of(KEYS[0])


def changes(*positions, is_kept=True):
    return [StoreChange(KEYS[at - 1], at, is_kept, SHARD) for at in positions]


class PrefixIndexTests(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex()

    def test_runs_are_consecutive_and_holes_part_them(self):
        self.index.apply("s1", changes(8, 16, 32))
        self.index.apply("s2", changes(16))
        found = set(self.index.find(KEYS))
        self.assertEqual(
            found, {HeldRun("s1", 0, 16), HeldRun("s1", 24, 8), HeldRun("s2", 8, 8)}
        )

    def test_prompts_that_part_after_a_shared_beginning_share_its_entries(self):
        self.index.apply("s1", changes(8, 16))
        other = (*KEYS[:20], *(f"{number:02x}" * 16 for number in range(200, 220)))
        self.assertEqual(self.index.find(other), (HeldRun("s1", 0, 16),))

    def test_doubled_changes_change_nothing(self):
        for _ in range(2):
            self.index.apply("s1", changes(8))
        self.assertEqual(len(self.index), 1)
        for _ in range(2):
            self.index.apply("s1", changes(8, is_kept=False))
        self.assertEqual((len(self.index), self.index.find(KEYS)), (0, ()))

    def test_holder_that_lost_everything_is_in_no_entry(self):
        self.index.apply("s1", changes(8, 16))
        self.index.apply("s2", changes(8))
        self.index.remove_holder("s1")
        self.assertEqual(self.index.find(KEYS), (HeldRun("s2", 0, 8),))

    def test_full_index_takes_no_more_and_serves_what_it_has(self):
        """Symptom: a small VM runs out of memory and serves nobody. Sequence: a
        large account's prompts fill the index. Cause: an index without a limit."""
        index = PrefixIndex(max_entries=2)
        index.apply("s1", changes(8, 16, 24))
        self.assertEqual(len(index), 2)
        self.assertEqual(index.find(KEYS), (HeldRun("s1", 0, 16),))

    def test_lines_that_cannot_be_right_are_left_out(self):
        lines = [
            StoreChange("not a key", 8, True, SHARD),
            StoreChange("", 8, True, SHARD),
            StoreChange(KEYS[7], 8, True, 256),
            StoreChange(KEYS[7], 8, True, -1),
        ]
        self.index.apply("s1", [*lines, *changes(16)])
        self.assertEqual(len(self.index), 1)

    def test_shards_of_others_are_dropped(self):
        self.index.apply("s1", changes(8))
        self.index.retain_shards(frozenset({SHARD + 1}))
        self.assertEqual((len(self.index), self.index.find(KEYS)), (0, ()))
