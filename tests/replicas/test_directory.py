"""Which replicas get new requests when the list changes."""

import unittest

from fireflyward.deployment import Service
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from .makers import entry


class DirectoryTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry("r1"), entry("r2")])

    def names(self, service="s"):
        return sorted(
            state.entry.incarnation for state in self.directory.of_service(service)
        )

    def test_a_leaving_replica_gets_no_new_requests(self):
        self.directory.on_changes(
            0, [entry("r1", leaving=True)], [], keep_until_ms=2_300
        )
        self.assertEqual(self.names(), ["r2"])

    def test_a_removed_replica_gets_no_new_requests(self):
        gone = self.directory.on_changes(0, [], ["r1"])
        self.assertEqual([state.entry.incarnation for state in gone], ["r1"])
        self.assertEqual(self.names(), ["r2"])

    def test_entries_that_expired_during_an_outage_are_kept_for_two_seconds(self):
        """Guards against rejecting every request when the store is available again.

        Replicas could not renew their entries while the store was unavailable. All of
        them are missing from its first answer, although they serve.
        """
        self.directory.on_full_read(100, [], keep_until_ms=2_400)
        self.assertEqual(self.names(), ["r1", "r2"])
        self.directory.on_changes(900, [entry("r1")], [], keep_until_ms=2_400)
        gone = self.directory.expire(2_400)
        self.assertEqual([state.entry.incarnation for state in gone], ["r2"])
        self.assertEqual(self.names(), ["r1"])

    def test_a_leaving_replica_is_not_kept_after_an_outage(self):
        self.directory.on_changes(0, [entry("r1", leaving=True)], [])
        self.directory.on_changes(0, [], ["r1"], keep_until_ms=2_300)
        self.assertIsNone(self.directory.find("r1"))

    def test_the_state_of_an_incarnation_is_kept(self):
        state = self.directory.find("r1")
        state.in_flight = 3
        self.directory.on_full_read(0, [entry("r1")])
        self.assertIs(self.directory.find("r1"), state)
        self.assertEqual(state.in_flight, 3)

    def test_reported_weights_are_used_until_the_list_changes(self):
        self.directory.on_changes(0, [entry("r1", version=1)], [])
        state = self.directory.find("r1")
        state.on_loading(0, 5_000)
        state.on_loaded("m", 2)
        self.assertFalse(state.is_loading(1))
        self.directory.on_changes(0, [entry("r1", version=1)], [])
        self.assertEqual(state.version_by_model, {"m": 2})
        self.directory.on_changes(0, [entry("r1", version=3)], [])
        self.assertEqual(state.version_by_model, {"m": 3})


class RestartTests(unittest.TestCase):
    """A replica restarts empty under the same name; only its start time differs."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        self.put(1_000)
        self.before = self.directory.find("r1")

    def put(self, started_ms, **changes):
        row = entry("r1", version=1, started_ms=started_ms, **changes)
        return self.directory.on_changes(0, [row], [])

    def test_no_state_of_the_former_incarnation_is_kept(self):
        """Guards against avoiding a restarted replica and assuming its memory is full.

        The replica returned under its name within a heartbeat, so its entry was never
        removed, and weights, slowdown, suspicion, failures and in-flight load were
        kept.
        """
        before = self.before
        before.on_loaded("m", 7)
        before.on_send_failure(0)
        before.on_full(0)
        before.on_loading(0, 5_000)
        before.on_answer(failed=True)
        before.on_send_failure(0)
        before.on_first_token(expected_ms=1_000, took_ms=4_000)
        before.on_run_finished(9_000)
        before.on_load(0, 12)
        before.in_flight, before.waiting_late = 4, 1
        before.unprefilled_tokens, before.resident_tokens = 900, 4_000
        before.rejections = 3
        replaced = self.put(2_000)
        state = self.directory.find("r1")
        self.assertEqual(replaced, [before])
        self.assertIsNot(state, before)
        self.assertEqual(state.possible_weights(), {("m", 1)})
        self.assertFalse(state.is_suspect(1) or state.is_full(1) or state.is_loading(1))
        fresh = ReplicaState(entry("r9"))
        for field in (
            "failed_share",
            "resident_tokens",
            "in_flight",
            "slowdown",
            "rejections",
            "mean_run_ms",
            "unprefilled_tokens",
            "waiting_late",
        ):
            with self.subTest(field=field):
                self.assertEqual(getattr(state, field), getattr(fresh, field))
        self.assertEqual(state.other_requests(0), 0)

    def test_requests_that_end_at_the_former_incarnation_change_nothing(self):
        self.before.in_flight = 1
        self.put(2_000)
        self.before.in_flight -= 1
        self.before.on_send_failure(0)
        state = self.directory.find("r1")
        self.assertEqual(state.in_flight, 0)
        self.assertFalse(state.is_suspect(1))

    def test_a_former_incarnation_is_not_found_any_more(self):
        self.put(2_000)
        self.assertIsNone(self.directory.find_incarnation(self.before.incarnation_id))
        state = self.directory.find("r1")
        self.assertIs(self.directory.find_incarnation(state.incarnation_id), state)

    def test_a_restart_with_an_earlier_start_time_counts(self):
        """Entries arrive in the order in which they were written, not by start time."""
        self.put(500)
        self.assertEqual(self.directory.find("r1").entry.started_ms, 500)

    def test_the_same_incarnation_is_kept(self):
        self.assertEqual(self.put(1_000, leaving=True), [])
        self.assertIs(self.directory.find("r1"), self.before)

    def test_a_full_read_may_contain_a_new_incarnation(self):
        replaced = self.directory.on_full_read(
            0, [entry("r1", started_ms=2_000)], keep_until_ms=2_300
        )
        self.assertEqual(replaced, [self.before])


class UnknownServiceTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        entries = [entry("r1"), entry("r2"), entry("x", service="unknown")]
        self.directory.on_full_read(0, entries)

    def test_an_entry_of_an_unknown_service_is_not_a_replica(self):
        """Guards against loading weights on a process that is not a replica."""
        self.directory.set_services({"s": Service("s")})
        names = [state.entry.incarnation for state in self.directory.all()]
        self.assertEqual(names, ["r1", "r2"])
        self.assertIsNone(self.directory.find_incarnation(entry("x").incarnation_id))

    def test_a_service_that_is_added_later_has_its_replicas(self):
        self.directory.set_services({"s": Service("s")})
        services = {name: Service(name) for name in ("s", "unknown")}
        self.directory.set_services(services)
        self.assertEqual(len(self.directory.of_service("unknown")), 1)

    def test_a_replica_with_an_invalid_entry_is_dropped_at_once(self):
        gone = self.directory.drop(["r1", "never seen"])
        self.assertEqual([state.entry.incarnation for state in gone], ["r1"])
        self.assertEqual(len(self.directory.of_service("s")), 1)


class BackpressureTests(unittest.TestCase):
    """Backpressure is kept while the entry of a replica is missing."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        self.list(entry("r1", started_ms=5))
        self.backpressure = self.directory.find("r1").backpressure

    def list(self, *entries):
        self.directory.on_full_read(0, entries)

    def list_again(self, started_ms=5):
        self.list()
        self.list(entry("r1", started_ms=started_ms))
        return self.directory.find("r1")

    def test_a_replica_that_is_listed_again_is_still_leaving(self):
        """Guards against requests to a leaving replica that is listed again.

        Its entry expired during a network fault and was written again.
        """
        self.directory.on_leaving(self.directory.find("r1"))
        self.list_again()
        self.assertEqual(self.directory.of_service("s"), [])

    def test_its_limit_and_its_backoff_are_kept(self):
        self.backpressure.limit.on_limit_named(0, 4.0)
        self.backpressure.on_backoff(0, 3_000)
        state = self.list_again()
        self.assertEqual(state.backpressure.limit.per_second, 4.0)
        self.assertEqual(state.backpressure.backoff_ms(1_000), 2_000)

    def test_a_new_incarnation_has_no_backpressure(self):
        self.backpressure.limit.on_limit_named(0, 4.0)
        self.backpressure.changes += 1
        self.directory.on_leaving(self.directory.find("r1"))
        state = self.list_again(started_ms=6)
        self.assertIsNone(state.backpressure.limit.per_second)
        self.assertFalse(state.is_leaving)

    def test_the_number_of_retained_entries_is_limited(self):
        """Guards against memory use that grows with every replica that ever existed."""
        for number in range(2_000):
            self.list(entry(f"x{number}"))
            self.directory.on_leaving(self.directory.find(f"x{number}"))
        self.list()
        self.assertLess(len(self.directory._backpressure_by_incarnation_id), 1_100)
