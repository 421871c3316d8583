import unittest

from fireflyward.backing import VmEntry, VmList
from fireflyward.leaving import LeavingUpstreams


def make_list(as_of_ms=1_000, **states):
    entries = tuple(
        VmEntry(name.replace("_", "-"), state) for name, state in states.items()
    )
    return VmList(entries, as_of_ms)


class LeavingUpstreamsTests(unittest.TestCase):
    def setUp(self):
        self.upstreams = LeavingUpstreams()
        self.upstreams.set_upstreams(
            {"engine-1": "http://10.0.0.1:80", "service-1": "http://10.0.0.2:81"}
        )

    def leaving(self, now_ms):
        return [
            name
            for name in ("engine-1", "service-1")
            if self.upstreams.is_leaving(now_ms, name)
        ]

    def test_an_upstream_is_returned_once(self):
        listed = make_list(engine_1="leaving", service_1="live", other="leaving")
        self.assertEqual(self.upstreams.on_list(0, listed), ("engine-1",))
        self.assertEqual(self.upstreams.on_list(1, listed), ())
        self.assertEqual(self.leaving(1), ["engine-1"])

    def test_list_may_contain_the_address(self):
        entry = VmEntry("vm-77", "leaving", "d", "10.0.0.2:81")
        self.upstreams.on_list(0, VmList((entry,), 1))
        self.assertEqual(self.leaving(0), ["service-1"])

    def test_outdated_list_does_not_revoke_a_peers_announcement(self):
        """Guards against a leaving upstream that gets work again.

        A peer announced that the upstream is leaving, and then this node read an
        outdated list in which it is live. The answer that arrived later was considered
        the later state.
        """
        self.upstreams.on_peer_report(0, ["engine-1"])
        self.upstreams.on_list(100, make_list(engine_1="live"))
        self.assertEqual(self.leaving(200), ["engine-1"])

    def test_outdated_copy_of_the_list_changes_nothing(self):
        self.upstreams.on_list(0, make_list(2_000, engine_1="leaving"))
        self.upstreams.on_list(1, make_list(1_500, engine_1="live"))
        self.assertEqual(self.leaving(1), ["engine-1"])

    def test_list_whose_clock_was_set_far_back_counts_again(self):
        self.upstreams.on_list(0, make_list(90_000_000, engine_1="live"))
        self.upstreams.on_list(1, make_list(1_000, engine_1="leaving"))
        self.assertEqual(self.leaving(1), ["engine-1"])

    def test_upstream_that_is_live_again_gets_work(self):
        self.upstreams.on_peer_report(0, ["engine-1"])
        self.upstreams.on_list(10, make_list(1_000, engine_1="leaving"))
        self.upstreams.on_list(20, make_list(2_000, engine_1="live"))
        self.assertEqual(self.leaving(30), [])

    def test_upstream_that_is_removed_from_the_list_stays_leaving(self):
        self.upstreams.on_list(10, make_list(1_000, engine_1="leaving"))
        self.upstreams.on_list(20, make_list(2_000))
        self.assertEqual(self.leaving(30), ["engine-1"])

    def test_upstream_that_refused_a_connection_is_last_for_three_seconds(self):
        names = ["service-1", "service-2"]
        self.upstreams.on_refused(0, "service-1")
        self.assertEqual(self.upstreams.in_order(2_999, names), names[::-1])
        self.assertEqual(self.upstreams.in_order(3_000, names), names)
        self.assertEqual(self.upstreams.in_order(0, ["service-1"]), ["service-1"])

    def test_leaving_upstream_gets_no_work_even_if_it_is_the_only_one(self):
        self.upstreams.on_peer_report(0, ["service-1"])
        self.assertEqual(self.upstreams.in_order(0, ["service-1"]), [])

    def test_list_still_counts_after_a_refused_connection(self):
        self.upstreams.on_refused(0, "engine-1")
        newly_leaving = self.upstreams.on_list(1, make_list(engine_1="leaving"))
        self.assertEqual(newly_leaving, ("engine-1",))
        self.assertEqual(self.leaving(10_000), ["engine-1"])

    def test_unknown_names_are_ignored(self):
        self.assertEqual(self.upstreams.on_peer_report(0, ["unknown"]), ())
