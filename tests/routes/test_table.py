"""The configuration and its age decide which requests may run."""

import unittest

from fireflyward.deployment import (
    ClientAccount,
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from fireflyward.outcomes import Reason
from fireflyward.routes import Allowed, RouteTable


def route(prefix, service="s", **changes):
    fields = {
        "name": prefix,
        "host": "h",
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "objective_ms": 100,
        "priority": 3,
        "max_attempts": 1,
        "shares": (ServiceShare(service, 1),),
    }
    return Route(**{**fields, **changes})


def configuration(version=1, routes=(), keys=("k",), **account):
    accounts = (ClientAccount("acme", keys, **account),)
    return Configuration(version, routes or (route("/a/"),), {}, accounts=accounts)


class RouteTableTests(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable(revoke_ms=5_000, fails_closed=True)
        self.table.apply(configuration())
        self.table.confirm(0)

    def decide(self, now_ms=0, host="h", path="/a/x", key="k", request_id="r"):
        return self.table.decide(
            now_ms, host=host, path=path, key=key, request_id=request_id
        )

    def test_the_longest_matching_prefix_is_used(self):
        self.table.apply(configuration(2, (route("/a/", "x"), route("/a/b/", "y"))))
        self.assertEqual(self.decide(path="/a/b/c").service, "y")
        self.assertEqual(self.decide(path="/a/bc").service, "x")

    def test_before_the_first_configuration_no_rejection_is_final(self):
        empty = RouteTable(revoke_ms=5_000, fails_closed=True)
        rejected = empty.decide(0, host="h", path="/", key="k", request_id="r")
        self.assertEqual(rejected.reason, Reason.NO_BUNDLE)
        self.assertGreater(rejected.retry_after_ms, 0)

    def test_unknown_routes_and_keys_are_rejected_for_good_only_if_confirmed_recently(
        self,
    ):
        """Guards against a final 404 for a route that was just added.

        The node has been unable to reach the store since before the route was added.
        """
        self.assertEqual(self.decide(path="/z/").reason, Reason.UNKNOWN_ROUTE)
        self.assertEqual(self.decide(key="no").reason, Reason.WRONG_KEY)
        for rejected in (self.decide(3_000, path="/z/"), self.decide(3_000, key="no")):
            self.assertEqual(rejected.reason, Reason.PLATFORM_AWAY)
            self.assertGreater(rejected.retry_after_ms, 0)

    def test_a_node_that_cannot_reach_the_store_accepts_no_keys(self):
        """Guards against requests that run long after their key was withdrawn.

        The node does not receive the withdrawal, because the store does not respond to
        the node.
        """
        self.assertIsInstance(self.decide(4_500), Allowed)
        self.assertEqual(self.decide(4_600).reason, Reason.PLATFORM_AWAY)
        self.table.confirm(4_600)
        self.assertIsInstance(self.decide(4_700), Allowed)

    def test_open_routes_require_neither_a_key_nor_the_store(self):
        self.table.apply(configuration(2, (route("/a/", allows_anonymous=True),)))
        allowed = self.decide(60_000, key=None)
        self.assertIsNone(allowed.account)

    def test_an_older_configuration_changes_nothing(self):
        self.assertTrue(self.table.apply(configuration(5, keys=("new",))))
        self.assertFalse(self.table.apply(configuration(4)))
        self.assertEqual(self.decide(key="k").reason, Reason.WRONG_KEY)

    def test_the_accounts_priority_overrides_the_routes(self):
        self.assertEqual(self.decide().priority, 3)
        self.table.apply(configuration(2, priority=1))
        self.assertEqual(self.decide().priority, 1)

    def test_services_are_chosen_by_weight_and_the_same_for_one_request(self):
        shares = (ServiceShare("x", 90), ServiceShare("y", 10))
        self.table.apply(configuration(2, (route("/a/", shares=shares),)))
        chosen = [self.decide(request_id=f"r{n}").service for n in range(1_000)]
        again = [self.decide(request_id=f"r{n}").service for n in range(1_000)]
        self.assertEqual(chosen, again)
        self.assertTrue(60 < chosen.count("y") < 140, chosen.count("y"))

    def test_weights_below_one_are_applied_like_others(self):
        shares = (ServiceShare("x", 0.45), ServiceShare("y", 0.05))
        self.table.apply(configuration(2, (route("/a/", shares=shares),)))
        chosen = [self.decide(request_id=f"r{n}").service for n in range(1_000)]
        self.assertTrue(60 < chosen.count("y") < 140, chosen.count("y"))
