import unittest

from fireflyward.membership import Member, Members, MemberState


def make_member(name, *, domain="d1", state=MemberState.LIVE):
    return Member(name, ("127.0.0.1", 1), domain, "r", 1, state)


class MembersTests(unittest.TestCase):
    def setUp(self):
        self.members = Members(make_member("own"))

    def names(self, members):
        return [member.name for member in members]

    def test_own_node_is_live(self):
        self.assertEqual(self.names(self.members.live_in("d1")), ["own"])

    def test_leaving_and_dead_are_not_live_but_suspected_are(self):
        for state in MemberState:
            self.members.put(make_member(state.name, state=state))
        self.assertEqual(
            self.names(self.members.all_live()), ["LIVE", "SUSPECTED", "own"]
        )

    def test_members_of_an_unreachable_domain_are_not_live(self):
        self.members.put(make_member("far", domain="d2"))
        self.members.set_unreachable_domains(frozenset({"d2"}))
        self.assertEqual(self.names(self.members.all_live()), ["own"])
        self.assertEqual(self.members.get("far").state, MemberState.UNHEARD)
        self.members.set_unreachable_domains(frozenset())
        self.assertEqual(self.names(self.members.live_in("d2")), ["far"])
