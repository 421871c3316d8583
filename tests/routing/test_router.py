import collections
import unittest

from fireflyward.outcomes import Reason, Usage
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.upstreams import Accepted, Broken, Finished, LoadReport, Piece, Refused

NAMES = ("r1", "r2", "r3")
KEYS = tuple(f"block-{index}" for index in range(16))


def report(backlog=0, *, version="v1", leaving=False, epoch="1", age_ms=0):
    return LoadReport(0, 0, backlog, 99, {"m": version}, leaving, epoch, age_ms)


def shape(run_id="run", *, tokens=1_000, keys=()):
    return RunShape("account", "m", "v1", tokens, keys, run_id)


class RouterTests(unittest.TestCase):
    def setUp(self):
        self.router = self.make()

    def make(self, *, seed=1, names=NAMES):
        router = Router("here", seed=seed)
        domain = {"r3": "there"}
        router.set_replicas(
            [Candidate(name, domain.get(name, "here"), ("m",)) for name in names]
        )
        for name in names:
            router.on_report(0, name, report())
        return router

    def choices(self, now_ms, count=30, **changes):
        return {self.router.choose(now_ms, shape("", **changes)) for _ in range(count)}

    def test_only_a_replica_that_confirmed_the_version_is_chosen(self):
        self.router.on_report(10, "r1", report(version="v2"))
        self.router.on_report(10, "r2", report(version="v2"))
        self.assertEqual(self.choices(10), {"r3"})

    def test_no_replica_confirmed_the_version(self):
        for name in NAMES:
            self.router.on_report(10, name, report(version="v2"))
        self.assertIsNone(self.router.choose(10, shape()))

    def test_replicas_of_the_own_domain_are_preferred(self):
        self.assertEqual(self.choices(0), {"r1", "r2"})

    def test_own_runs_count_before_any_report_includes_them(self):
        chosen = [self.router.choose(0, shape(str(number))) for number in range(6)]
        self.assertEqual(set(collections.Counter(chosen).values()), {2})

    def test_older_report_does_not_replace_a_newer_one(self):
        """A replica that had confirmed a new version was treated as if it had the old
        one. Two nodes sent reports of it, and the older report arrived last. Reports
        were ordered by arrival and not by the time that they describe."""
        self.router.on_report(1_000, "r1", report(version="v2"))
        self.router.on_report(1_100, "r1", report(version="v1", age_ms=900))
        self.assertNotIn("r1", self.choices(1_100))

    def test_recent_report_moves_runs_away_and_an_old_one_does_not(self):
        self.router.on_report(0, "r1", report(80_000))
        self.assertEqual(self.choices(0), {"r2"})
        self.assertIn("r1", self.choices(2_900))

    def test_many_nodes_with_the_same_old_report_do_not_choose_one_replica(self):
        """One replica got nearly every run until the next report, then another one.
        All nodes had the same report, in which one replica had slightly less load,
        and each of them reacted to all of the difference."""
        counts = collections.Counter()
        for node in range(40):
            router = self.make(seed=node)
            router.on_report(0, "r1", report(4_000))
            router.on_report(0, "r2", report(2_000))
            router.on_report(0, "r3", report(3_000))
            for number in range(10):
                counts[router.choose(600, shape(str(number)))] += 1
        self.assertLess(max(counts.values()), 0.5 * sum(counts.values()))

    def test_leaving_replica_gets_no_runs_whatever_reports_it(self):
        sources = {
            "report": lambda r: r.on_report(10, "r1", report(leaving=True)),
            "list": lambda r: r.on_leaving("r1"),
            "refusal": lambda r: r.on_event(10, "r1", "x", Refused(Reason.STOPPING)),
        }
        for source, report_leaving in sources.items():
            with self.subTest(source=source):
                self.router = self.make()
                report_leaving(self.router)
                self.assertNotIn("r1", self.choices(10))

    def test_rejected_version_is_not_used_until_the_next_report(self):
        """Runs were rejected as ``no_upstream`` during a rollout. A replica was
        reloaded between two reports, and all runs of the old version were still sent
        to it, because its rejections did not replace what the report said."""
        chosen = self.router.choose(0, shape("a"))
        rejection = Refused(Reason.UNKNOWN_MODEL)
        self.router.on_event(0, chosen, "a", rejection)
        self.assertNotIn(chosen, self.choices(0))
        self.assertEqual(self.router.pop_outdated_replicas(), {chosen})
        self.router.on_report(10, chosen, report())
        self.assertIn(chosen, self.choices(10))

    def test_late_report_does_not_make_a_leaving_replica_eligible_again(self):
        """A leaving replica got runs again. The replica list said that it was
        leaving, and a report of the same process, received later, did not. The last
        received message was applied."""
        self.router.on_leaving("r1")
        self.router.on_report(20, "r1", report())
        self.assertNotIn("r1", self.choices(20))
        self.router.on_report(30, "r1", report(epoch="2"))
        self.assertIn("r1", self.choices(30))

    def test_replica_without_a_report_for_three_seconds_is_the_last_choice(self):
        """A replica that had left long ago still got runs. The node received none of
        the replica's reports and treated the absence of reports as no change."""
        self.router.on_report(3_001, "r2", report())
        self.assertEqual(self.choices(3_001), {"r2"})
        self.assertEqual(
            self.router.choose(3_001, shape(), without=frozenset({"r2", "r3"})), "r1"
        )

    def test_failed_replica_is_avoided_for_longer_after_each_failure(self):
        self.router.on_end(0, "r1", failed=True)
        self.assertEqual(self.choices(1_999), {"r2"})
        self.router.on_report(2_500, "r1", report())
        self.router.on_report(2_500, "r2", report())
        self.assertIn("r1", self.choices(2_500))
        self.router.on_end(2_500, "r1", failed=True)
        self.router.on_report(5_000, "r2", report())
        self.assertEqual(self.choices(5_000), {"r2"})

    def test_suspected_replica_is_chosen_if_there_is_no_other(self):
        for name in NAMES:
            self.router.on_end(0, name, failed=True)
        self.assertIsNotNone(self.router.choose(0, shape()))

    def test_restart_clears_suspicion_and_recorded_prefixes(self):
        self.router.on_end(0, "r1", failed=True)
        self.router.affinity.record.add("r1", KEYS)
        self.router.on_report(10, "r1", report(epoch="2"))
        self.assertEqual(self.router.affinity.record.cached_tokens(KEYS), {})
        self.assertEqual(self.choices(10), {"r1", "r2"})

    def test_repeated_prompt_goes_to_the_replica_that_has_its_blocks(self):
        first = self.router.choose(0, shape("a", keys=KEYS))
        self.router.on_event(0, first, "a", Accepted("v1", 0))
        self.router.on_event(50, first, "a", Piece(0, 1, "x"))
        for number in range(20):
            again = self.router.choose(60, shape(f"b{number}", keys=KEYS))
            self.assertEqual(again, first)
            self.router.on_event(60, again, f"b{number}", Piece(0, 1, "x"))

    def test_nodes_choose_the_same_replica_for_a_prefix_without_messages(self):
        chosen = {
            self.make(seed=node).choose(0, shape(tokens=4_000, keys=KEYS))
            for node in range(30)
        }
        self.assertEqual(len(chosen), 1)

    def test_other_replicas_are_chosen_if_the_preferred_one_is_busy(self):
        first = self.router.choose(0, shape("a", keys=KEYS))
        chosen = []
        for number in range(100):
            chosen.append(self.router.choose(0, shape(f"b{number}", keys=KEYS)))
            self.router.on_start(chosen[-1])
        self.assertEqual(chosen[0], first)
        self.assertGreater(len(set(chosen)), 1)

    def test_speed_follows_the_fastest_first_tokens(self):
        for number in range(40):
            name = self.router.choose(0, shape(str(number)))
            self.router.on_event(0, name, str(number), Accepted("v1", 0))
            self.router.on_event(20, name, str(number), Piece(0, 1, "x"))
        self.assertAlmostEqual(self.router.prefill_ms(shape()), 20.0, delta=2.0)

    def test_every_final_event_removes_the_pending_tokens_of_a_run(self):
        final = (Finished(Usage()), Broken(True, ""), Refused(Reason.OVERLOADED))
        for event in (*final, Piece(0, 1, "x")):
            with self.subTest(event=event):
                self.router = self.make()
                name = self.router.choose(0, shape("a"))
                self.router.on_event(0, name, "a", event)
                self.assertEqual(self.router.candidate(name).pending_tokens, 0)

    def test_run_without_further_events_expires(self):
        """A replica got fewer and fewer runs. Callers disconnected after the replica
        was chosen for their runs and before the runs were started. The router got no
        event for these runs, so their tokens stayed pending."""
        name = self.router.choose(0, shape("a"))
        self.router.choose(60_001, shape("b", tokens=1))
        self.assertLessEqual(self.router.candidate(name).pending_tokens, 1)

    def test_new_bundle_keeps_the_state_of_existing_replicas(self):
        self.router.on_leaving("r1")
        self.router.set_replicas([Candidate("r1", "here", ("m", "n"))])
        self.assertTrue(self.router.candidate("r1").leaving)
        self.assertEqual(self.router.candidate("r1").models, ("m", "n"))
