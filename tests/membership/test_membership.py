import unittest

from fireflyward.bench._membership_net import MembershipNet
from fireflyward.membership import (
    AlarmKind,
    BundleChanged,
    LeaveDone,
    LeaveStarted,
    MemberState,
    PacketKind,
    Received,
)


class MembershipCase(unittest.TestCase):
    def start(self, domains, per_domain, *, seed=1, loss=0.0):
        self.net = MembershipNet(seed=seed, loss=loss)
        self.net.start_many(domains, per_domain)
        self.net.run_ms(3_000)

    def view(self, observer, name):
        member = self.net.node_by_name[observer].members.get(name)
        return member.state if member else None

    def all_nodes_see(self, name, state):
        return lambda: all(
            self.view(observer, name) is state for observer in self.net.node_by_name
        )

    def alarms(self, kind):
        return [item for item in self.net.alarms if item[2].kind is kind]

    def assert_soon(self, done, limit_ms):
        self.assertIsNotNone(self.net.run_until(done, limit_ms))


class NoFaultTests(MembershipCase):
    def test_no_alarm_without_faults(self):
        self.start(2, 4)
        self.net.run_ms(120_000)
        self.assertEqual(self.net.alarms, [])

    def test_bundle_number_reaches_all_nodes(self):
        self.start(3, 3)
        self.net.deliver("entry-0-0", BundleChanged(7))
        nodes = self.net.node_by_name.values()
        self.assert_soon(
            lambda: all(
                node.members.get("entry-0-0").bundle_number == 7 for node in nodes
            ),
            9_000,
        )

    def test_new_node_finds_all_nodes_and_is_found_by_all(self):
        self.start(3, 3)
        self.net.start("new", "domain-1", (("entry-0-0", 1),))
        new = self.net.node_by_name["new"].members
        self.assert_soon(lambda: len(new.all_live()) == 10, 10_000)
        self.assert_soon(self.all_nodes_see("new", MemberState.LIVE), 10_000)


class FailureTests(MembershipCase):
    def test_all_nodes_declare_a_crashed_node_dead_within_ten_seconds(self):
        """Guards against work that stays assigned to a node whose VM crashed.

        The other nodes can't distinguish a crash from lost datagrams at first.
        """
        self.start(2, 5)
        self.net.kill("entry-1-0")
        self.assert_soon(self.all_nodes_see("entry-1-0", MemberState.DEAD), 10_000)

    def test_last_other_node_of_a_domain_is_declared_dead(self):
        self.start(2, 2)
        self.net.kill("entry-1-0")
        self.assert_soon(self.all_nodes_see("entry-1-0", MemberState.DEAD), 12_000)

    def test_no_node_is_declared_dead_at_20_percent_loss(self):
        """Guards against a live node that gets no work because it counts as dead.

        Probes and their answers are lost several times in a row.
        """
        self.start(1, 9, loss=0.2)
        self.net.run_ms(300_000)
        self.assertEqual(self.alarms(AlarmKind.NODE_DEAD), [])

    def test_no_node_is_declared_dead_after_a_pause_of_three_seconds(self):
        """Guards against members declared dead after a pause of one process.

        After a pause of 3 s all timers of the process have expired. It might declare
        the others dead, or be declared dead by them.
        """
        self.start(2, 5)
        self.net.paused.add("entry-0-0")
        self.net.run_ms(3_000)
        self.net.resume("entry-0-0")
        self.net.run_ms(10_000)
        self.assertEqual(self.alarms(AlarmKind.NODE_DEAD), [])
        self.assertTrue(self.all_nodes_see("entry-0-0", MemberState.LIVE)())

    def test_node_refutes_its_death_after_a_long_pause(self):
        self.start(2, 5)
        self.net.paused.add("entry-0-0")
        self.net.run_ms(30_000)
        self.assertEqual(self.view("entry-1-0", "entry-0-0"), MemberState.DEAD)
        self.net.resume("entry-0-0")
        self.assert_soon(self.all_nodes_see("entry-0-0", MemberState.LIVE), 3_000)
        woken = self.net.node_by_name["entry-0-0"].members
        self.assertEqual(len(woken.all_live()), 10)

    def test_only_the_paused_node_is_declared_dead_under_loss(self):
        self.start(1, 9, loss=0.2)
        self.net.paused.add("entry-0-0")
        self.net.run_ms(20_000)
        self.net.resume("entry-0-0")
        self.net.run_ms(60_000)
        dead = {alarm.name for _, _, alarm in self.alarms(AlarmKind.NODE_DEAD)}
        self.assertEqual(dead, {"entry-0-0"})
        self.assertTrue(self.all_nodes_see("entry-0-0", MemberState.LIVE)())

    def test_leaving_is_announced_before_the_node_exits(self):
        self.start(2, 5)
        self.net.deliver("entry-0-0", LeaveStarted())
        self.assert_soon(self.all_nodes_see("entry-0-0", MemberState.LEAVING), 3_000)
        self.net.deliver("entry-0-0", LeaveDone())
        self.net.kill("entry-0-0")
        self.assert_soon(self.all_nodes_see("entry-0-0", MemberState.DEAD), 3_000)
        self.assertEqual(self.alarms(AlarmKind.NODE_SUSPECTED), [])


class PartitionTests(MembershipCase):
    def cut_domain(self, suffix):
        self.net.is_blocked = lambda one, other: (
            one.endswith(suffix) != other.endswith(suffix)
        )

    def test_cut_off_domain_works_alone_and_rejoins_without_a_traffic_peak(self):
        """Guards against a traffic peak when a failure domain is connected again.

        If both sides of a broken link declared each member of the other side dead,
        all members would refute that at once when the link works again.
        """
        self.start(3, 4)
        self.cut_domain("-0")
        self.net.run_ms(300_000)
        self.assertEqual(self.alarms(AlarmKind.NODE_DEAD), [])
        for name, node in self.net.node_by_name.items():
            wanted = 4 if name.endswith("-0") else 8
            self.assertEqual(len(node.members.all_live()), wanted, name)
        self.net.sent.clear()
        self.net.run_ms(10_000)
        quiet = len(self.net.sent)
        self.net.sent.clear()
        self.net.is_blocked = lambda one, other: False
        self.net.run_ms(10_000)
        self.assertLess(len(self.net.sent), 1.5 * quiet)
        for node in self.net.node_by_name.values():
            self.assertEqual(len(node.members.all_live()), 12)

    def test_crash_and_restart_in_a_cut_off_domain_are_known_after_the_cut(self):
        self.start(2, 4)
        self.cut_domain("-0")
        self.net.run_ms(30_000)
        self.net.kill("entry-1-0")
        self.net.kill("entry-2-0")
        self.net.run_ms(20_000)
        self.net.start("entry-2-0", "domain-0", (("entry-0-0", 1),), incarnation=9)
        own = self.net.node_by_name["entry-2-0"].members
        self.assert_soon(lambda: len(own.live_in("domain-0")) == 3, 5_000)
        self.net.is_blocked = lambda one, other: False
        self.assert_soon(self.all_nodes_see("entry-1-0", MemberState.DEAD), 60_000)
        self.assert_soon(self.all_nodes_see("entry-2-0", MemberState.LIVE), 60_000)

    def test_node_that_receives_nothing_declares_no_node_dead(self):
        """Guards against a node with a broken link that declares its domain dead.

        The node receives nothing for minutes. When its link works again, it might
        spread its assumption that all others are dead.
        """
        self.start(2, 6)
        self.net.is_blocked = lambda one, other: "entry-1-0" in (one, other)
        self.net.run_ms(120_000)
        alone = self.net.node_by_name["entry-1-0"].members
        self.assertEqual([member.name for member in alone.all_live()], ["entry-1-0"])
        self.net.is_blocked = lambda one, other: False
        self.net.run_ms(30_000)
        dead = {alarm.name for _, _, alarm in self.alarms(AlarmKind.NODE_DEAD)}
        self.assertEqual(dead, {"entry-1-0"})
        for node in self.net.node_by_name.values():
            self.assertEqual(len(node.members.all_live()), 12)

    def test_two_halves_of_a_domain_rejoin_after_a_partition(self):
        self.start(1, 6)
        left = {"entry-0-0", "entry-1-0", "entry-2-0"}
        self.net.is_blocked = lambda one, other: (one in left) != (other in left)
        self.net.run_ms(60_000)
        for node in self.net.node_by_name.values():
            self.assertEqual(len(node.members.all_live()), 3)
        self.net.is_blocked = lambda one, other: False
        nodes = self.net.node_by_name.values()
        self.assert_soon(
            lambda: all(len(node.members.all_live()) == 6 for node in nodes), 120_000
        )


class IncarnationTests(MembershipCase):
    def test_restart_after_the_wall_clock_was_set_back(self):
        """Guards against a restarted node that stays dead for all others.

        Its wall clock was set back, so it starts with a lower incarnation, and all
        its datagrams count as older than its death.
        """
        self.start(2, 3)
        self.net.kill("entry-0-0")
        self.net.start("entry-0-0", "domain-0", (("entry-1-0", 1),), incarnation=-50)
        members = self.net.node_by_name["entry-0-0"].members
        self.assert_soon(lambda: members.own.incarnation > 1, 5_000)
        self.net.run_ms(20_000)
        self.assertTrue(self.all_nodes_see("entry-0-0", MemberState.LIVE)())

    def test_restart_with_a_clock_set_back_after_it_was_declared_dead(self):
        self.start(2, 3)
        self.net.kill("entry-0-0")
        self.net.run_ms(20_000)
        self.net.start("entry-0-0", "domain-0", (("entry-1-0", 1),), incarnation=0)
        self.assert_soon(self.all_nodes_see("entry-0-0", MemberState.LIVE), 5_000)

    def test_old_datagrams_do_not_change_the_state_of_a_member(self):
        """Guards against replayed datagrams that change the state of a member.

        A dead node might get work again, or a live one none.
        """
        self.start(1, 4)
        recorded = [packet for _, _, packet in self.net.sent]
        self.net.kill("entry-3-0")
        self.net.run_ms(15_000)
        recorded += [packet for _, _, packet in self.net.sent]
        self.net.start("entry-3-0", "domain-0", (("entry-0-0", 1),), incarnation=5)
        self.net.run_ms(5_000)
        self.net.kill("entry-2-0")
        self.net.run_ms(15_000)
        for packet in recorded:
            if packet.sender.name != "entry-0-0":
                self.net.deliver("entry-0-0", Received(packet))
        self.assertEqual(self.view("entry-0-0", "entry-3-0"), MemberState.LIVE)
        self.assertEqual(self.view("entry-0-0", "entry-2-0"), MemberState.DEAD)

    def test_two_nodes_with_one_name_raise_an_alarm(self):
        self.start(1, 3)
        node = self.net.node_by_name["entry-0-0"]
        for _ in range(3):
            own = node.members.own
            other = type(own)(
                own.name, ("elsewhere", 1), "domain-0", "r", own.incarnation + 1
            )
            packet = next(
                packet
                for _, name, packet in self.net.sent
                if name == "entry-1-0" and packet.kind is PacketKind.ACK
            )
            packet = type(packet)(PacketKind.NEWS, packet.sender, rows=(other,))
            self.net.deliver("entry-0-0", Received(packet))
        self.assertEqual(len(self.alarms(AlarmKind.NAME_TAKEN)), 1)
