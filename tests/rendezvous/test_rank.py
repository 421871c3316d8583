import unittest

from fireflyward.rendezvous import rendezvous_rank

RANK_OF_KEY_A = 12772220864564455664


class RendezvousRankTests(unittest.TestCase):
    def test_ranks_are_the_same_in_all_versions(self):
        """Guards against an upgrade in which no node polls some replicas.

        Nodes of two versions run at the same time. If the versions compute different
        ranks, two nodes poll one replica, and no node polls another.
        """
        self.assertEqual(rendezvous_rank("key", "a"), RANK_OF_KEY_A)

    def test_key_and_name_are_separated(self):
        self.assertNotEqual(rendezvous_rank("ab", "c"), rendezvous_rank("a", "bc"))
