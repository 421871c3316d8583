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

    def test_replicas_of_the_own_domain_go_first(self):
        self.assertEqual(self.choices(0), {"r1", "r2"})

    def test_own_runs_count_before_any_report_tells_of_them(self):
        chosen = [self.router.choose(0, shape(str(number))) for number in range(6)]
        self.assertEqual(set(collections.Counter(chosen).values()), {2})

    def test_older_report_does_not_replace_a_newer_one(self):
        """Symptom: a replica that confirmed a new version is taken for one of the
        old. Sequence: two peers pass on reports, the older arrives last. Cause:
        reports were kept by arrival and not by the time that they describe."""
        self.router.on_report(1_000, "r1", report(version="v2"))
        self.router.on_report(1_100, "r1", report(version="v1", age_ms=900))
        self.assertNotIn("r1", self.choices(1_100))

    def test_fresh_report_moves_work_away_and_an_old_one_does_not(self):
        self.router.on_report(0, "r1", report(80_000))
        self.assertEqual(self.choices(0), {"r2"})
        self.assertIn("r1", self.choices(2_900))

    def test_many_nodes_with_one_stale_report_do_not_herd(self):
        """Symptom: one replica gets nearly every run for as long as a report
        lives, then the next. Sequence: all nodes read the same report, in which
        one replica has a little less to do. Cause: each acted on the whole of the
        difference, as if no other node saw it."""
        counts = collections.Counter()
        for node in range(40):
            router = self.make(seed=node)
            router.on_report(0, "r1", report(4_000))
            router.on_report(0, "r2", report(2_000))
            router.on_report(0, "r3", report(3_000))
            for number in range(10):
                counts[router.choose(600, shape(str(number)))] += 1
        self.assertLess(max(counts.values()), 0.5 * sum(counts.values()))

    def test_leaving_by_any_sign_gets_nothing_new(self):
        signs = {
            "report": lambda r: r.on_report(10, "r1", report(leaving=True)),
            "list": lambda r: r.on_leaving("r1"),
            "refusal": lambda r: r.on_event(10, "r1", "x", Refused(Reason.STOPPING)),
        }
        for sign, give in signs.items():
            with self.subTest(sign=sign):
                self.router = self.make()
                give(self.router)
                self.assertNotIn("r1", self.choices(10))

    def test_version_that_was_refused_is_not_believed_until_the_next_report(self):
        """Symptom: runs are refused as ``no_upstream`` during a rollout. Sequence:
        a replica reloads between two reports, and every run of the old version is
        sent to it. Cause: a report was believed against the replica's own word."""
        chosen = self.router.choose(0, shape("a"))
        refusal = Refused(Reason.UNKNOWN_MODEL)
        self.router.on_event(0, chosen, "a", refusal)
        self.assertNotIn(chosen, self.choices(0))
        self.assertEqual(self.router.pop_outdated_replicas(), {chosen})
        self.router.on_report(10, chosen, report())
        self.assertIn(chosen, self.choices(10))

    def test_late_report_does_not_take_leaving_back(self):
        """Symptom: a leaving replica gets work again. Sequence: the list says that
        it leaves, then its own report, made by the same process, does not say so.
        Cause: the last word heard was believed."""
        self.router.on_leaving("r1")
        self.router.on_report(20, "r1", report())
        self.assertNotIn("r1", self.choices(20))
        self.router.on_report(30, "r1", report(epoch="2"))
        self.assertIn("r1", self.choices(30))

    def test_replica_without_a_report_for_three_seconds_is_the_last_choice(self):
        """Symptom: a replica that left long ago still gets work. Sequence: the
        node is cut off from the replica's reports. Cause: no news was good news."""
        self.router.on_report(3_001, "r2", report())
        self.assertEqual(self.choices(3_001), {"r2"})
        self.assertEqual(
            self.router.choose(3_001, shape(), without=frozenset({"r2", "r3"})), "r1"
        )

    def test_failed_replica_is_avoided_for_longer_each_time(self):
        self.router.on_end(0, "r1", failed=True)
        self.assertEqual(self.choices(1_999), {"r2"})
        self.router.on_report(2_500, "r1", report())
        self.router.on_report(2_500, "r2", report())
        self.assertIn("r1", self.choices(2_500))
        self.router.on_end(2_500, "r1", failed=True)
        self.router.on_report(5_000, "r2", report())
        self.assertEqual(self.choices(5_000), {"r2"})

    def test_suspected_replica_is_better_than_none(self):
        for name in NAMES:
            self.router.on_end(0, name, failed=True)
        self.assertIsNotNone(self.router.choose(0, shape()))

    def test_restart_ends_suspicion_and_forgets_the_cache(self):
        self.router.on_end(0, "r1", failed=True)
        self.router.affinity.record.add("r1", KEYS)
        self.router.on_report(10, "r1", report(epoch="2"))
        self.assertEqual(self.router.affinity.record.cached_tokens(KEYS), {})
        self.assertEqual(self.choices(10), {"r1", "r2"})

    def test_returning_prompt_goes_where_its_blocks_are(self):
        first = self.router.choose(0, shape("a", keys=KEYS))
        self.router.on_event(0, first, "a", Accepted("v1", 0))
        self.router.on_event(50, first, "a", Piece(0, 1, "x"))
        for number in range(20):
            again = self.router.choose(60, shape(f"b{number}", keys=KEYS))
            self.assertEqual(again, first)
            self.router.on_event(60, again, f"b{number}", Piece(0, 1, "x"))

    def test_nodes_agree_on_the_home_of_a_prefix_without_a_message(self):
        chosen = {
            self.make(seed=node).choose(0, shape(tokens=4_000, keys=KEYS))
            for node in range(30)
        }
        self.assertEqual(len(chosen), 1)

    def test_busy_home_gives_way(self):
        first = self.router.choose(0, shape("a", keys=KEYS))
        chosen = []
        for number in range(100):
            chosen.append(self.router.choose(0, shape(f"b{number}", keys=KEYS)))
            self.router.on_start(chosen[-1])
        self.assertEqual(chosen[0], first)
        self.assertGreater(len(set(chosen)), 1)

    def test_speed_follows_the_quick_first_tokens(self):
        for number in range(40):
            name = self.router.choose(0, shape(str(number)))
            self.router.on_event(0, name, str(number), Accepted("v1", 0))
            self.router.on_event(20, name, str(number), Piece(0, 1, "x"))
        self.assertAlmostEqual(self.router.prefill_ms(shape()), 20.0, delta=2.0)

    def test_every_end_takes_a_run_off_its_replica(self):
        ends = (Finished(Usage()), Broken(True, ""), Refused(Reason.OVERLOADED))
        for event in (*ends, Piece(0, 1, "x")):
            with self.subTest(event=event):
                self.router = self.make()
                name = self.router.choose(0, shape("a"))
                self.router.on_event(0, name, "a", event)
                self.assertEqual(self.router.candidate(name).pending_tokens, 0)

    def test_run_that_is_never_heard_of_again_expires(self):
        """Symptom: a replica gets less and less work. Sequence: runs are chosen
        for it and their callers go before they start. Cause: nothing told the
        router that these runs had ended."""
        name = self.router.choose(0, shape("a"))
        self.router.choose(60_001, shape("b", tokens=1))
        self.assertLessEqual(self.router.candidate(name).pending_tokens, 1)

    def test_new_bundle_keeps_what_is_known_of_old_replicas(self):
        self.router.on_leaving("r1")
        self.router.set_replicas([Candidate("r1", "here", ("m", "n"))])
        self.assertTrue(self.router.candidate("r1").leaving)
        self.assertEqual(self.router.candidate("r1").models, ("m", "n"))
