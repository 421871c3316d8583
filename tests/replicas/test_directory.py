"""Which replicas get new requests as the list changes."""

import unittest

from fireflyward.deployment import Service
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from .makers import entry


class DirectoryTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry("r1"), entry("r2")], after_outage=False)

    def names(self, service="s"):
        return sorted(
            state.entry.incarnation for state in self.directory.of_service(service)
        )

    def test_one_that_leaves_gets_nothing_more(self):
        self.directory.on_changes(0, [entry("r1", leaving=True)], [], after_outage=True)
        self.assertEqual(self.names(), ["r2"])

    def test_one_that_is_removed_gets_nothing_more(self):
        gone = self.directory.on_changes(0, [], ["r1"], after_outage=False)
        self.assertEqual([state.entry.incarnation for state in gone], ["r1"])
        self.assertEqual(self.names(), ["r2"])

    def test_entries_that_lapsed_in_an_outage_stay_for_a_while(self):
        """Symptom: every request is refused when the store returns.

        Replicas could not renew their entries while the store was away; all of
        them are missing from its first answer, although they serve.
        """
        self.directory.on_full_read(100, [], after_outage=True)
        self.assertEqual(self.names(), ["r1", "r2"])
        self.directory.on_changes(900, [entry("r1")], [], after_outage=True)
        gone = self.directory.expire(2_400)
        self.assertEqual([state.entry.incarnation for state in gone], ["r2"])
        self.assertEqual(self.names(), ["r1"])

    def test_one_that_was_leaving_is_not_kept_by_an_outage(self):
        self.directory.on_changes(
            0, [entry("r1", leaving=True)], [], after_outage=False
        )
        self.directory.on_changes(0, [], ["r1"], after_outage=True)
        self.assertIsNone(self.directory.find("r1"))

    def test_what_is_known_of_an_incarnation_is_kept(self):
        state = self.directory.find("r1")
        state.in_flight = 3
        self.directory.on_full_read(0, [entry("r1")], after_outage=False)
        self.assertIs(self.directory.find("r1"), state)
        self.assertEqual(state.in_flight, 3)

    def test_word_of_loaded_weights_holds_until_the_list_changes(self):
        self.directory.on_changes(0, [entry("r1", version=1)], [], after_outage=False)
        state = self.directory.find("r1")
        state.on_loading(0, 5_000)
        state.on_loaded("m", 2)
        self.assertFalse(state.is_loading(1))
        self.directory.on_changes(0, [entry("r1", version=1)], [], after_outage=False)
        self.assertEqual(state.version_by_model, {"m": 2})
        self.directory.on_changes(0, [entry("r1", version=3)], [], after_outage=False)
        self.assertEqual(state.version_by_model, {"m": 3})


class StartTests(unittest.TestCase):
    """A replica starts again under its name, empty, and tells only its start."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        self.put(1_000)
        self.before = self.directory.find("r1")

    def put(self, started_ms, **changes):
        row = entry("r1", version=1, started_ms=started_ms, **changes)
        return self.directory.on_changes(0, [row], [], after_outage=False)

    def test_nothing_that_was_believed_of_the_former_start_is_kept(self):
        """Symptom: a replica that crashed is shunned, and its memory thought full.

        It came back under its name within a heartbeat, so its entry never went, and
        weights, pace, suspicion, failures and work under way were kept.
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
        over = self.put(2_000)
        state = self.directory.find("r1")
        self.assertEqual(over, [before])
        self.assertIsNot(state, before)
        self.assertEqual(state.weights_it_may_have(), {("m", 1)})
        self.assertFalse(state.is_suspect(1) or state.is_full(1) or state.is_loading(1))
        fresh = ReplicaState(entry("r9"))
        for belief in (
            "failed_share",
            "held_tokens",
            "in_flight",
            "pace",
            "refusals",
            "run_ms",
            "unread_tokens",
            "waiting_late",
        ):
            with self.subTest(belief=belief):
                self.assertEqual(getattr(state, belief), getattr(fresh, belief))
        self.assertEqual(state.others_at(0), 0)

    def test_work_that_ends_at_the_former_start_changes_nothing(self):
        self.before.in_flight = 1
        self.put(2_000)
        self.before.in_flight -= 1
        self.before.on_send_failure(0)
        state = self.directory.find("r1")
        self.assertEqual(state.in_flight, 0)
        self.assertFalse(state.is_suspect(1))

    def test_a_former_start_is_found_no_more(self):
        self.put(2_000)
        self.assertIsNone(self.directory.find_incarnation(self.before.incarnation_id))
        state = self.directory.find("r1")
        self.assertIs(self.directory.find_incarnation(state.incarnation_id), state)

    def test_a_start_by_a_clock_that_was_set_back_counts(self):
        """Entries come in the order in which they were written, not by their clocks."""
        self.put(500)
        self.assertEqual(self.directory.find("r1").entry.started_ms, 500)

    def test_the_same_start_is_kept(self):
        self.assertEqual(self.put(1_000, leaving=True), [])
        self.assertIs(self.directory.find("r1"), self.before)

    def test_the_whole_list_may_tell_of_a_new_start(self):
        over = self.directory.on_full_read(
            0, [entry("r1", started_ms=2_000)], after_outage=True
        )
        self.assertEqual(over, [self.before])


class ForeignEntryTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        entries = [entry("r1"), entry("r2"), entry("x", service="unheard of")]
        self.directory.on_full_read(0, entries, after_outage=False)

    def test_an_entry_of_no_service_names_no_replica(self):
        """Symptom: weights are loaded on something that is not ours."""
        self.directory.set_services({"s": Service("s")})
        names = [state.entry.incarnation for state in self.directory.all()]
        self.assertEqual(names, ["r1", "r2"])
        self.assertIsNone(self.directory.find_incarnation(entry("x").number))

    def test_a_service_that_comes_later_has_its_replicas(self):
        self.directory.set_services({"s": Service("s")})
        services = {name: Service(name) for name in ("s", "unheard of")}
        self.directory.set_services(services)
        self.assertEqual(len(self.directory.of_service("unheard of")), 1)

    def test_one_whose_entry_names_none_any_more_goes_at_once(self):
        gone = self.directory.drop(["r1", "never seen"])
        self.assertEqual([state.entry.incarnation for state in gone], ["r1"])
        self.assertEqual(len(self.directory.of_service("s")), 1)


class BackpressureTests(unittest.TestCase):
    """What a replica asked for, while its entry goes and comes back."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        self.list(entry("r1", started_ms=5))
        self.asked = self.directory.find("r1").backpressure

    def list(self, *entries):
        self.directory.on_full_read(0, entries, after_outage=False)

    def relisted(self, started_ms=5):
        self.list()
        self.list(entry("r1", started_ms=started_ms))
        return self.directory.find("r1")

    def test_a_replica_that_is_listed_again_still_leaves(self):
        """Guards against an entry that lapsed in a cut and comes back."""
        self.directory.on_leaving(self.directory.find("r1"))
        self.relisted()
        self.assertEqual(self.directory.of_service("s"), [])

    def test_its_limit_and_its_rest_hold_on(self):
        self.asked.limit.on_limit_named(0, 4.0)
        self.asked.on_backoff(0, 3_000)
        state = self.relisted()
        self.assertEqual(state.backpressure.limit.per_second, 4.0)
        self.assertEqual(state.backpressure.backoff_ms(1_000), 2_000)

    def test_another_start_asked_for_nothing_yet(self):
        self.asked.limit.on_limit_named(0, 4.0)
        self.asked.changes += 1
        self.directory.on_leaving(self.directory.find("r1"))
        state = self.relisted(started_ms=6)
        self.assertIsNone(state.backpressure.limit.per_second)
        self.assertFalse(state.is_leaving)

    def test_only_some_of_those_that_went_are_kept(self):
        """Guards against memory that grows with each replica that ever was."""
        for number in range(2_000):
            self.list(entry(f"x{number}"))
            self.directory.on_leaving(self.directory.find(f"x{number}"))
        self.list()
        self.assertLess(len(self.directory._backpressure_by_number), 1_100)
