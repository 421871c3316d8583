import unittest

from fireflyward.membership import Member, SteadyMembers, owner_of, owners_of

KEYS = [f"key-{index}" for index in range(2_000)]
MEMBERS = [
    Member(f"entry-{index}", ("127.0.0.1", index), "d1", "r", 1) for index in range(35)
]


class OwnerTests(unittest.TestCase):
    def test_key_has_no_owner_without_members(self):
        self.assertIsNone(owner_of("key", []))

    def test_order_of_members_does_not_matter(self):
        for key in KEYS[:100]:
            self.assertEqual(owner_of(key, MEMBERS), owner_of(key, MEMBERS[::-1]))

    def test_only_keys_of_the_removed_member_move(self):
        before = {key: owner_of(key, MEMBERS) for key in KEYS}
        for key in KEYS:
            after = owner_of(key, MEMBERS[1:])
            if before[key] is not MEMBERS[0]:
                self.assertIs(after, before[key])

    def test_second_owner_replaces_the_first(self):
        for key in KEYS[:200]:
            first, second = owners_of(key, MEMBERS, 2)
            remaining = [member for member in MEMBERS if member is not first]
            self.assertIs(owner_of(key, remaining), second)

    def test_keys_are_spread_evenly_over_members(self):
        owners = [owner_of(key, MEMBERS).name for key in KEYS]
        shares = [owners.count(member.name) for member in MEMBERS]
        self.assertGreater(min(shares), 0.5 * len(KEYS) / len(MEMBERS))
        self.assertLess(max(shares), 1.6 * len(KEYS) / len(MEMBERS))


class SteadyTests(unittest.TestCase):
    def test_restart_within_the_grace_time_moves_no_keys(self):
        """Guards against polls and affinities that move at every restart of a node.

        A node restarts in seconds; without the grace time its share of the keys would
        move to other nodes and back.
        """
        steady = SteadyMembers(grace_ms=30_000)
        steady.update(0, MEMBERS)
        members = steady.update(8_000, MEMBERS[1:])
        for key in KEYS[:200]:
            self.assertEqual(owner_of(key, members), owner_of(key, MEMBERS))

    def test_member_is_removed_after_the_grace_time(self):
        steady = SteadyMembers(grace_ms=30_000)
        steady.update(0, MEMBERS)
        self.assertEqual(len(steady.update(30_000, MEMBERS[1:])), len(MEMBERS) - 1)
