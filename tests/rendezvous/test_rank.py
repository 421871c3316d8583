import unittest

from fireflyward.rendezvous import rendezvous_rank

RANK_OF_KEY_A = 12772220864564455664


class RendezvousRankTests(unittest.TestCase):
    def test_ranks_stay_what_nodes_of_other_versions_compute(self):
        """Symptom: after an upgrade two nodes poll one replica and none another.
        Sequence: nodes of two versions run side by side during the upgrade. Cause:
        a rank that changed between them."""
        self.assertEqual(rendezvous_rank("key", "a"), RANK_OF_KEY_A)

    def test_key_and_name_do_not_run_into_each_other(self):
        self.assertNotEqual(rendezvous_rank("ab", "c"), rendezvous_rank("a", "bc"))
