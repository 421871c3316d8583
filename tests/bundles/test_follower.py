import unittest

from fireflyward.bundles import (
    AnnounceNumber,
    BundleFollower,
    FetchFromPeer,
    FetchFromStore,
    ReadHead,
)

PEERS = [f"peer-{index}" for index in range(8)]


def follower(number=1):
    made = BundleFollower(poll_ms=2_000, seed=1)
    made.on_tick(0, PEERS)
    made.on_head(0, number)
    made.on_applied(0, number, PEERS)
    return made


def kinds(actions):
    return [type(action) for action in actions]


class NumberNeverDecreasesTests(unittest.TestCase):
    def test_no_message_lowers_the_number(self):
        """Guards against rules that come into force again after they were withdrawn.

        A lagging table replica or a restarted peer sends an old number. The number that
        was received last must not be taken for the newest one.
        """
        node = follower(7)
        node.on_head(100, 3)
        node.on_peer_number(100, "peer-1", 2)
        node.on_applied(100, 6, PEERS)
        self.assertEqual((node.number, node.head_number, node.target_number), (7, 7, 7))

    def test_head_of_a_lagging_replica_is_no_confirmation(self):
        node = follower(7)
        node.on_head(5_000, 6)
        self.assertEqual(node.confirmed_at_ms, 0)

    def test_number_is_announced_to_a_peer_that_is_behind(self):
        self.assertEqual(
            follower(7).on_peer_number(1, "peer-1", 5), [AnnounceNumber("peer-1", 7)]
        )


class FetchTests(unittest.TestCase):
    def test_newer_head_is_fetched_once(self):
        node = follower()
        self.assertEqual(kinds(node.on_head(10, 2)), [FetchFromStore])
        self.assertEqual(node.on_head(20, 2), [])

    def test_announced_number_is_fetched_from_its_announcer(self):
        self.assertEqual(
            follower().on_peer_number(10, "peer-3", 2), [FetchFromPeer("peer-3", 2)]
        )

    def test_false_number_of_a_peer_is_dropped_after_a_failed_fetch(self):
        node = follower()
        node.on_head(5, 1)
        node.on_peer_number(10, "peer-3", 999)
        self.assertEqual(node.on_fetch_failed(20), [])
        self.assertEqual(node.target_number, 1)

    def test_fetch_from_a_silent_peer_times_out(self):
        node = follower()
        node.on_peer_number(10, "peer-3", 2)
        node.on_peer_number(11, "peer-4", 2)
        actions = node.on_tick(2_600, PEERS)
        self.assertIn(FetchFromPeer("peer-4", 2), actions)

    def test_failed_fetches_from_the_store_back_off(self):
        node = follower()
        node.on_head(0, 2)
        fetched_ms = []
        now_ms = 0
        while now_ms < 10_000:
            if FetchFromStore in kinds(node.on_tick(now_ms, PEERS)):
                fetched_ms.append(now_ms)
            if node._current_fetch:
                node.on_fetch_failed(now_ms)
            now_ms += 50
        gaps = [b - a for a, b in zip(fetched_ms, fetched_ms[1:], strict=False)]
        self.assertEqual(gaps, sorted(gaps))
        self.assertLessEqual(gaps[-1], 2_000)

    def test_applied_number_is_announced_to_a_few_peers(self):
        node = follower()
        announcements = node.on_applied(10, 2, PEERS)
        self.assertEqual(len({action.peer for action in announcements}), 5)

    def test_newer_number_received_during_a_fetch_is_fetched_next(self):
        node = follower()
        node.on_peer_number(10, "peer-1", 2)
        node.on_peer_number(11, "peer-2", 3)
        actions = node.on_applied(20, 2, PEERS)
        self.assertIn(FetchFromPeer("peer-2", 3), actions)


class PollTests(unittest.TestCase):
    def test_polls_of_all_nodes_together_stay_within_the_rate(self):
        node = follower()
        self.assertEqual(node.poll_period_ms(9), 2_000)
        self.assertEqual(node.poll_period_ms(180), 3_000)
        self.assertEqual(node.poll_period_ms(350), 4_000)

    def test_numbers_of_many_callers_cause_few_reads(self):
        """Guards against an overload of the table service.

        Many callers send numbers that do not exist. The node must not read the table
        once for each request.
        """
        node = follower()
        reads = 0
        for now_ms in range(3_000, 4_000):
            reads += kinds(node.on_caller_number(now_ms, 10**9)).count(ReadHead)
        self.assertEqual(reads, 5)

    def test_caller_with_the_current_number_causes_no_action(self):
        node = follower()
        node.on_peer_number(10, "peer-1", 2)
        node.on_fetch_failed(11)
        node.on_peer_number(12, "peer-1", 2)
        self.assertEqual(node.on_caller_number(3_000, 1), [])
