import unittest

from fireflyward.bundles import Bundle, Model, Upstream
from fireflyward.rollout import Target, plan_of
from fireflyward.upstreams import EngineState

BUNDLE = Bundle(
    "demo",
    4,
    {"clauses": Model("v2", ("seismic",)), "drafts": Model("v7")},
    {},
    {
        "engine-1": Upstream("engine", "http://e1", "a", ("clauses", "drafts")),
        "engine-2": Upstream(
            "engine", "http://e2", "a", ("clauses",), versions={"clauses": "v3"}
        ),
        "drafting": Upstream("service", "http://s", "a"),
    },
)


class PlanTests(unittest.TestCase):
    def setUp(self):
        self.plan = plan_of(BUNDLE)

    def test_each_engine_gets_its_full_target(self):
        self.assertEqual(
            self.plan.target_by_replica["engine-1"],
            Target({"clauses": "v2", "drafts": "v7"}, ("clauses/seismic",)),
        )
        self.assertNotIn("drafting", self.plan.target_by_replica)

    def test_own_version_of_a_replica_gets_no_share(self):
        target = self.plan.target_by_replica["engine-2"]
        self.assertEqual(target.version_by_model, {"clauses": "v3"})
        self.assertEqual(self.plan.versions_by_model["clauses"], ("v2",))

    def test_changes_contain_reloaded_and_removed_models(self):
        target = self.plan.target_by_replica["engine-1"]
        state = EngineState({"clauses": "v2", "drafts": "v6", "old": "v1"})
        self.assertEqual(target.changes_from(state), ("clauses", "drafts", "old"))
        self.assertFalse(target.is_met_by(state))
