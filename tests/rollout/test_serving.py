import unittest

from fireflyward.rollout import (
    LoadClaim,
    RolloutRow,
    ServingVersions,
    VersionShare,
)

HALF = (VersionShare("v2", 50), VersionShare("v1", 100))


class ServingTests(unittest.TestCase):
    def setUp(self):
        self.confirmed = frozenset({"v1"})
        self.versions = ServingVersions(lambda model: self.confirmed)

    def choose(self, prompt="beam 7?", wanted="v2", default="v2"):
        return self.versions.of_request("clauses", wanted, default, "bridge", prompt)

    def update_shares(self, version, shares, claims=()):
        row = RolloutRow(shares_by_model={"clauses": shares}, claims=claims)
        return self.versions.update(version, row)

    def test_version_that_no_replica_serves_yet_is_not_chosen(self):
        self.update_shares(1, (VersionShare("v2", 0), VersionShare("v1", 100)))
        self.assertEqual(self.choose(), "v1")

    def test_without_a_row_the_previous_version_is_still_chosen(self):
        """Guards against rejecting all requests after a bundle change.

        The table becomes unavailable right after the change, so the node can't read
        the previous version from the row.
        """
        self.choose(wanted="v1", default="v1")
        self.assertEqual(self.choose(), "v1")

    def test_two_nodes_agree_and_a_prompt_keeps_its_version(self):
        self.confirmed = frozenset({"v1", "v2"})
        other = ServingVersions(lambda model: self.confirmed)
        self.update_shares(1, HALF)
        other.update(1, self.versions.row)
        prompts = [f"beam {index}?" for index in range(400)]
        chosen = [self.choose(prompt) for prompt in prompts]
        again = [
            other.of_request("clauses", "v2", "v2", "bridge", prompt)
            for prompt in prompts
        ]
        self.assertEqual(chosen, again)
        self.assertGreater(chosen.count("v2"), 150)
        self.assertLess(chosen.count("v2"), 250)

    def test_older_row_is_ignored(self):
        self.assertTrue(self.update_shares(2, HALF))
        self.assertFalse(self.update_shares(1, (VersionShare("v1", 100),)))
        self.assertEqual(self.versions.row.shares_by_model["clauses"], HALF)

    def test_version_without_replicas_is_replaced(self):
        self.confirmed = frozenset({"v2"})
        self.update_shares(1, (VersionShare("v2", 0), VersionShare("v1", 100)))
        self.assertEqual(self.choose(), "v2")

    def test_callers_own_version_precedes_the_shares(self):
        self.confirmed = frozenset({"v1", "v2", "v9"})
        self.update_shares(1, HALF)
        self.assertEqual(self.choose(wanted="v9"), "v9")

    def test_claimed_replica_gets_no_new_runs_of_what_it_reloads(self):
        claim = LoadClaim("engine-1", 2, "2.5.engine-1", {}, changes=("clauses",))
        self.update_shares(1, HALF, (claim,))
        self.assertEqual(self.versions.loading_models("engine-1"), {"clauses"})
        self.assertEqual(self.versions.loading_models("engine-2"), frozenset())
