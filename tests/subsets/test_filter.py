"""The subset of replicas that a node sends to."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from fireflyward.replicas import Chooser, InFlightLoad, Requirements
from fireflyward.subsets import IdleConnectionCost, subset_size
from tests.replicas.makers import entry

from .fakes import FilterFixture, entries

ANY = Requirements("s")


class SizeTests(unittest.TestCase):
    def test_the_size_follows_the_send_rate_down_to_the_floor(self):
        for rate, size in (0, 10), (6, 10), (12, 16), (30, 30):
            with self.subTest(rate=rate):
                self.assertEqual(subset_size(rate, nodes=82, replicas=30), size)

    def test_without_a_measured_rate_or_nodes_all_replicas_are_used(self):
        listed = entries(30)
        for options in {"per_second": 0}, {"nodes": 0}:
            with self.subTest(options):
                fixture = FilterFixture(listed, **options)
                self.assertEqual(len(fixture.names(ANY)), 30)
                self.assertFalse(fixture.filter.is_in_effect("s"))

    def test_small_services_are_not_affected(self):
        fixture = FilterFixture(entries(10), per_second=1)
        self.assertEqual(len(fixture.names(ANY)), 10)

    def test_kept_connections_are_reused_with_a_subset(self):
        """The load pattern: six sends a second of one node to 70 replicas.

        Without subsets most sends opened a connection: the time between two sends to
        the same replica was longer than connections are kept.
        """
        reused = {}
        for is_limited in False, True:
            fixture = FilterFixture(entries(70), nodes=63)
            chooser = Chooser(
                fixture.directory,
                failure_domain="a",
                candidate_filter=fixture.filter if is_limited else None,
                cost_terms=(IdleConnectionCost(fixture.pool, fixture.filter),),
                seed=1,
            )
            reused[is_limited] = self.reused_share(fixture, chooser)
        self.assertLess(reused[False], 0.4)
        self.assertGreater(reused[True], 0.85)

    def reused_share(self, fixture, chooser):
        last_ms, reused, sends = {}, 0, 600
        for number in range(sends):
            now_ms = 1_000 + number * 1_000 // 6
            fixture.pool.idle = {a for a, at in last_ms.items() if now_ms - at <= 4_000}
            address = chooser.choose(now_ms, ANY).replica.entry.address
            is_reused = address in fixture.pool.idle
            reused += is_reused
            fixture.pool.count(address, opened=not is_reused, reused=is_reused)
            last_ms[address] = now_ms
        return reused / sends


class MemberTests(unittest.TestCase):
    def test_each_domain_has_members_in_proportion(self):
        for node in range(30):
            fixture = FilterFixture(entries(30), node=f"n{node}")
            names = fixture.names(ANY)
            domains = Counter(
                fixture.directory.find(name).entry.failure_domain for name in names
            )
            self.assertEqual(sorted(domains.values()), [3, 3, 4])

    def test_a_removed_replica_moves_one_member(self):
        """Guards against opening most connections again when one replica ends."""
        # The floor is 12 with 70 replicas and with 69.
        fixture = FilterFixture(entries(70), nodes=60)
        before = fixture.names(ANY)
        gone = min(before)
        fixture.directory.on_changes(1_000, [], [gone])
        after = fixture.names(ANY)
        self.assertLessEqual(len(before - after), 2)
        self.assertEqual(len(after), len(before))

    def test_a_terminated_node_does_not_change_the_others_members(self):
        fixture = FilterFixture(entries(30))
        before = fixture.names(ANY)
        fixture.filter.set_nodes(81)
        self.assertEqual(fixture.names(ANY, now_ms=2_000), before)

    def test_replicas_that_cannot_serve_well_are_replaced_and_stay_members(self):
        def suspect(state):
            state.on_send_failure(1_000)

        def loading(state):
            state.on_loading(1_000)

        def full(state):
            state.on_full(1_000)

        def slow(state):
            state.slowdown = 3.0

        def failing(state):
            state.failed_share = 0.5

        for make in suspect, loading, full, slow, failing:
            with self.subTest(make.__name__):
                fixture = FilterFixture(entries(30))
                before = fixture.names(ANY)
                for name in sorted(before)[:4]:
                    make(fixture.directory.find(name))
                after = fixture.names(ANY, now_ms=1_050)
                self.assertLess(before, after)
                self.assertEqual(len(after), 14)

    def test_members_without_free_slots_are_joined_by_others(self):
        fixture = FilterFixture(entries(30))
        before = fixture.names(ANY)
        busy = {
            fixture.directory.find(name).incarnation_id: InFlightLoad(0, 0, 9)
            for name in before
        }
        fixture.peers.on_load_report(1_000, "n2", busy)
        self.assertEqual(len(fixture.names(ANY, now_ms=1_050)), 15)

    def test_when_all_replicas_are_busy_the_subset_is_twice_as_large(self):
        """Guards against opening connections to all replicas in an overload."""
        fixture = FilterFixture(entries(70), nodes=63)
        for state in fixture.directory.all():
            state.in_flight = 9
        self.assertEqual(len(fixture.names(ANY)), 24)

    def test_an_unreachable_domain_is_replaced(self):
        fixture = FilterFixture(entries(30))
        fixture.directory.set_unreachable("b", is_unreachable=True)
        reachable = {n for n in fixture.names(ANY) if int(n[1:]) % 3 != 1}
        self.assertEqual(len(reachable), 10)

    def test_an_unavailable_store_changes_nothing(self):
        fixture = FilterFixture(entries(30))
        before = fixture.names(ANY)
        fixture.directory.on_full_read(1_500, [], keep_until_ms=3_800)
        self.assertEqual(fixture.names(ANY, now_ms=1_600), before)

    def test_the_newest_weights_are_members_during_a_rollout(self):
        """Guards against old weights where two of seventy replicas have new ones."""
        listed = entries(70, version=1)
        wanted = Requirements("s", model="m", version=2)
        for node in range(10):
            fixture = FilterFixture(listed, nodes=63, node=f"n{node}")
            fixture.names(wanted)
            for name in "r7", "r44":
                fixture.directory.find(name).on_loaded("m", 2)
            self.assertLessEqual({"r7", "r44"}, fixture.names(wanted, now_ms=1_050))

    def test_replicas_with_a_limit_stay_candidates(self):
        """Guards against cold replicas whose rate is divided among nodes that don't
        have them in their subsets."""
        fixture = FilterFixture(entries(30))
        others = {f"r{n}" for n in range(30)} - fixture.names(ANY)
        name = min(others)
        fixture.directory.find(name).backpressure.limit.on_limit_named(1_000, 4.0)
        self.assertIn(name, fixture.names(ANY))

    def test_the_preferred_replica_is_compared_outside_the_subset(self):
        prompt = Requirements("s", prefix_key="p", prefix_tokens=9_000)
        chosen = set()
        for node in range(20):
            fixture = FilterFixture(entries(70), nodes=63, node=f"n{node}")
            chooser = Chooser(
                fixture.directory,
                failure_domain="a",
                candidate_filter=fixture.filter,
                seed=node,
            )
            chosen.add(chooser.choose(1_000, prompt).replica.entry.incarnation)
        self.assertEqual(len(chosen), 1)

    def test_an_idle_connection_is_worth_little(self):
        fixture = FilterFixture(entries(30))
        fixture.names(ANY)
        term = IdleConnectionCost(fixture.pool, fixture.filter)
        state = fixture.directory.find("r1")
        self.assertEqual(term.cost_ms(0, state, None, ANY), 2.0)
        fixture.pool.idle.add(state.entry.address)
        self.assertEqual(term.cost_ms(0, state, None, ANY), 0.0)
        self.assertEqual(term.cost_ms(0, state, None, Requirements("t")), 0.0)


class PropertyTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.data())
    def test_a_subset_is_never_empty_and_holds_usable_replicas(self, data):
        """Whatever fails: available replicas remain, and as many usable ones as the
        size asks for, if there are that many."""
        count = data.draw(st.integers(1, 60))
        fixture = FilterFixture(entries(count), nodes=data.draw(st.integers(0, 90)))
        names = [f"r{n}" for n in range(count)]
        without = data.draw(st.sets(st.sampled_from(names), max_size=count - 1))
        suspect = data.draw(st.sets(st.sampled_from(names)))
        for name in suspect:
            fixture.directory.find(name).on_send_failure(1_000)
        found = fixture.names(ANY, without=without)
        self.assertTrue(found)
        self.assertFalse(found & without)
        size = fixture.filter.sizes()["s"]
        usable = set(names) - without - suspect
        self.assertGreaterEqual(len(found & usable), min(size, len(usable)))


class CountTests(unittest.TestCase):
    def test_totals_do_not_decrease_when_an_address_is_gone(self):
        fixture = FilterFixture([entry("r1")])
        self.assertEqual(fixture.counts.totals()["s"].opened, 6)
        fixture.pool.use_by_address.clear()
        fixture.pool.count("r1:80", opened=2, reused=1)
        fixture.counts.update(2_000)
        use = fixture.counts.totals()["s"]
        self.assertEqual((use.opened, use.reused), (8, 1))
        self.assertAlmostEqual(fixture.counts.per_second("s"), 5.7)

    def test_an_address_that_is_listed_twice_counts_once(self):
        """Guards against a rate that is too high, and so a subset that is too large,
        while a replica's old entry and its new one have the same address."""
        again = replace(entry("r2"), address="r1:80")
        fixture = FilterFixture([entry("r1"), again])
        self.assertEqual(fixture.counts.totals()["s"].opened, 6)
        self.assertEqual(fixture.counts.per_second("s"), 6.0)
