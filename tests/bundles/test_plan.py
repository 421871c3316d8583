import unittest

import msgspec

from fireflyward.bundles import Model, Service, Upstream, make_plan
from tests.bundles.makers import ANA, TRUST, account, bundle, person


def with_engines(number, count, version="v1", adapters=(), **options):
    made = bundle(number, models={"clauses": Model(version, adapters)}, **options)
    engines = {
        f"engine-{index}": Upstream(
            "engine", f"http://127.0.0.1:{index}", f"sala-{index % 2}", ("clauses",)
        )
        for index in range(count)
    }
    return msgspec.structs.replace(made, upstreams=engines)


class LoadTests(unittest.TestCase):
    def test_new_version_reloads_every_replica_two_at_a_time(self):
        plan = make_plan(with_engines(1, 5), with_engines(2, 5, "v2"))
        self.assertEqual((plan.loads, plan.load_seconds), (5, 3.6))
        self.assertTrue(any("v1 to v2" in item for item in plan.sentences))

    def test_new_adapter_counts_as_a_load(self):
        plan = make_plan(with_engines(1, 4), with_engines(2, 4, adapters=("beams",)))
        self.assertEqual((plan.loads, plan.load_seconds), (4, 2.4))

    def test_replica_with_its_own_version_does_not_reload(self):
        old, new = with_engines(1, 2), with_engines(2, 2, "v2")
        pinned = msgspec.structs.replace(
            new.upstreams["engine-0"], versions={"clauses": "v1"}
        )
        upstreams = {**new.upstreams, "engine-0": pinned}
        new = msgspec.structs.replace(new, upstreams=upstreams)
        self.assertEqual(make_plan(old, new).loads, 1)

    def test_change_of_an_account_loads_nothing(self):
        plan = make_plan(bundle(1), bundle(2, ("bridge-team",)))
        self.assertEqual(plan.loads, 0)

    def test_plan_without_changes_states_that(self):
        self.assertIn("Nothing changes", make_plan(bundle(1), bundle(2)).sentences[0])


class DangerTests(unittest.TestCase):
    def assert_danger(self, old, new, *parts):
        dangers = make_plan(old, new).dangers
        for part in parts:
            self.assertTrue(any(part in danger for danger in dangers), dangers)

    def test_account_that_loses_its_last_model(self):
        self.assert_danger(bundle(1), bundle(2, ("bridge-team",)), "tower-team loses")
        empty = {"bridge-team": account("bridge-team", models=())}
        self.assert_danger(
            bundle(1), bundle(2, account_by_name=empty), "bridge-team loses its last"
        )

    def test_key_that_stops_working(self):
        moved = {"bridge-team": account("other"), "tower-team": account("tower-team")}
        self.assert_danger(bundle(1), bundle(2, account_by_name=moved), "stops working")

    def test_route_that_may_be_repeated(self):
        new = msgspec.structs.replace(bundle(2), services={"drafting": Service()})
        self.assert_danger(bundle(1), new, "POST /revisions* may be repeated")

    def test_model_without_replicas_in_a_failure_domain(self):
        self.assert_danger(
            with_engines(1, 4), with_engines(2, 1), "sala-1", "one failure domain"
        )

    def test_upstream_trusted_with_fencing(self):
        old = bundle(1)
        engine = msgspec.structs.replace(
            old.upstreams["engine-1"], honours_fencing=True
        )
        new = msgspec.structs.replace(
            bundle(2), upstreams={**old.upstreams, "engine-1": engine}
        )
        self.assert_danger(old, new, "engine-1 is trusted")

    def test_person_who_gains_or_loses_a_role(self):
        fewer = {name: item for name, item in TRUST.items() if name != "carla"}
        self.assert_danger(bundle(1), bundle(2, trust=fewer), "carla can no longer")
        more = {**TRUST, "dora": person(ANA, approve=("*",))}
        self.assert_danger(bundle(1), bundle(2, trust=more), "dora may now approve: *")

    def test_lower_limit(self):
        lower = {
            "bridge-team": account("bridge-team", max_in_flight=2),
            "tower-team": account("tower-team"),
        }
        self.assert_danger(bundle(1), bundle(2, account_by_name=lower), "only 2")
