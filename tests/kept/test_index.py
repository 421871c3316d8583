import unittest

from fireflyward.kept import HeldRun, PrefixIndex, StoreChange, shard_of

KEYS = tuple(f"{number:02x}" * 16 for number in range(1, 41))
SHARD = shard_of(KEYS[0])


def changes(*positions, is_kept=True):
    return [StoreChange(KEYS[at - 1], at, is_kept, SHARD) for at in positions]


class PrefixIndexTests(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex()

    def test_runs_are_consecutive_and_separated_by_gaps(self):
        self.index.apply("s1", changes(8, 16, 32))
        self.index.apply("s2", changes(16))
        found = set(self.index.find(KEYS))
        self.assertEqual(
            found, {HeldRun("s1", 0, 16), HeldRun("s1", 24, 8), HeldRun("s2", 8, 8)}
        )

    def test_prompts_with_a_common_prefix_share_its_entries(self):
        self.index.apply("s1", changes(8, 16))
        other = (*KEYS[:20], *(f"{number:02x}" * 16 for number in range(200, 220)))
        self.assertEqual(self.index.find(other), (HeldRun("s1", 0, 16),))

    def test_duplicate_changes_have_no_effect(self):
        for _ in range(2):
            self.index.apply("s1", changes(8))
        self.assertEqual(len(self.index), 1)
        for _ in range(2):
            self.index.apply("s1", changes(8, is_kept=False))
        self.assertEqual((len(self.index), self.index.find(KEYS)), (0, ()))

    def test_removed_holder_is_in_no_entry(self):
        self.index.apply("s1", changes(8, 16))
        self.index.apply("s2", changes(8))
        self.index.remove_holder("s1")
        self.assertEqual(self.index.find(KEYS), (HeldRun("s2", 0, 8),))

    def test_full_index_accepts_no_new_entries_and_keeps_the_others(self):
        """Guards against a small VM that runs out of memory and serves no requests.

        The prompts of a large account fill the index, which must have a limit.
        """
        index = PrefixIndex(max_entries=2)
        index.apply("s1", changes(8, 16, 24))
        self.assertEqual(len(index), 2)
        self.assertEqual(index.find(KEYS), (HeldRun("s1", 0, 16),))

    def test_invalid_lines_are_skipped(self):
        lines = [
            StoreChange("not a key", 8, True, SHARD),
            StoreChange("", 8, True, SHARD),
            StoreChange(KEYS[7], 8, True, 256),
            StoreChange(KEYS[7], 8, True, -1),
        ]
        self.index.apply("s1", [*lines, *changes(16)])
        self.assertEqual(len(self.index), 1)

    def test_shards_of_other_nodes_are_dropped(self):
        self.index.apply("s1", changes(8))
        self.index.retain_shards(frozenset({SHARD + 1}))
        self.assertEqual((len(self.index), self.index.find(KEYS)), (0, ()))
