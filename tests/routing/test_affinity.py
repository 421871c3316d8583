import unittest

from fireflyward.routing import PrefixAffinity, PrefixRecord, RunShape, rendezvous_order

NAMES = [f"r{index}" for index in range(12)]


def keys(count, start="a"):
    return tuple(f"{start}/{index}" for index in range(count))


class PrefixRecordTests(unittest.TestCase):
    def test_longest_recorded_prefix_counts(self):
        record = PrefixRecord()
        record.add("r1", keys(10))
        record.add("r2", keys(4))
        self.assertEqual(record.cached_tokens(keys(20)), {"r1": 640, "r2": 256})

    def test_unrecorded_prefix_has_no_cached_tokens(self):
        record = PrefixRecord()
        record.add("r1", keys(10))
        self.assertEqual(record.cached_tokens(keys(10, "b")), {})

    def test_record_is_bounded_and_drops_the_oldest_entries(self):
        record = PrefixRecord(max_entries=10)
        for number in range(100):
            record.add("r1", keys(4, str(number)))
            self.assertLessEqual(len(record), 10)
        self.assertEqual(record.cached_tokens(keys(4, "0")), {})
        self.assertEqual(record.cached_tokens(keys(4, "89")), {})
        for number in range(95, 100):
            cached = record.cached_tokens(keys(4, str(number)))
            self.assertEqual(cached, {"r1": 256})

    def test_removed_replica_is_in_no_entry(self):
        record = PrefixRecord()
        record.add("r1", keys(8))
        record.add("r2", keys(4))
        record.remove_replica("r1")
        self.assertEqual(record.cached_tokens(keys(8)), {"r2": 256})


class RendezvousTests(unittest.TestCase):
    def test_removed_name_moves_only_its_own_keys(self):
        remaining = [name for name in NAMES if name != "r3"]
        for number in range(300):
            before = rendezvous_order(str(number), NAMES)[0]
            after = rendezvous_order(str(number), remaining)[0]
            if before != "r3":
                self.assertEqual(after, before)


class PrefixAffinityTests(unittest.TestCase):
    def setUp(self):
        self.affinity = PrefixAffinity()
        self.affinity.set_replicas({"m": NAMES})

    def shape(self, *, start="a"):
        return RunShape("account", "m", "v1", 1_000, keys(12, start))

    def test_estimate_for_preferred_replica_follows_the_reported_share(self):
        preferred = rendezvous_order(keys(12)[7], NAMES)[0]
        before = self.affinity.estimate_cached_tokens(self.shape())[preferred]
        for _ in range(100):
            self.affinity.on_cached_tokens(preferred, self.shape(), 1_000)
        after = self.affinity.estimate_cached_tokens(self.shape())[preferred]
        self.assertEqual(before, 500)
        self.assertGreater(after, 980)

    def test_reports_of_other_replicas_do_not_change_the_share(self):
        last = rendezvous_order(keys(12)[7], NAMES)[-1]
        self.affinity.on_cached_tokens(last, self.shape(), 0)
        self.assertEqual(self.affinity.preferred_cached_share, 0.5)

    def test_prompt_without_a_full_block_has_no_preferred_replica(self):
        shape = RunShape("account", "m", "v1", 20)
        self.assertEqual(self.affinity.estimate_cached_tokens(shape), {})
