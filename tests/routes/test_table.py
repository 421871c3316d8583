"""Which requests may run, by a configuration and its age."""

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


class TableTests(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable(revoke_ms=5_000, closes_without_contact=True)
        self.table.apply(configuration())
        self.table.confirm(0)

    def decide(self, now_ms=0, host="h", path="/a/x", key="k", request_id="r"):
        return self.table.decide(
            now_ms, host=host, path=path, key=key, request_id=request_id
        )

    def test_the_longest_prefix_counts(self):
        self.table.apply(configuration(2, (route("/a/", "x"), route("/a/b/", "y"))))
        self.assertEqual(self.decide(path="/a/b/c").service, "y")
        self.assertEqual(self.decide(path="/a/bc").service, "x")

    def test_before_the_first_configuration_nothing_is_refused_for_good(self):
        empty = RouteTable(revoke_ms=5_000, closes_without_contact=True)
        refused = empty.decide(0, host="h", path="/", key="k", request_id="r")
        self.assertEqual(refused.reason, Reason.NO_BUNDLE)
        self.assertGreater(refused.retry_after_ms, 0)

    def test_unknown_route_and_key_are_refused_for_good_only_when_fresh(self):
        """Symptom: a caller of a route that was just added gets a final 404.

        The node has been cut off from the store since before the route came.
        """
        self.assertEqual(self.decide(path="/z/").reason, Reason.UNKNOWN_ROUTE)
        self.assertEqual(self.decide(key="no").reason, Reason.WRONG_KEY)
        for refused in (self.decide(3_000, path="/z/"), self.decide(3_000, key="no")):
            self.assertEqual(refused.reason, Reason.PLATFORM_AWAY)
            self.assertGreater(refused.retry_after_ms, 0)

    def test_keys_are_not_accepted_by_a_node_without_contact(self):
        """Symptom: a withdrawn key runs requests long after its withdrawal.

        The node cannot hear of it, since the store does not answer this node.
        """
        self.assertIsInstance(self.decide(4_500), Allowed)
        self.assertEqual(self.decide(4_600).reason, Reason.PLATFORM_AWAY)
        self.table.confirm(4_600)
        self.assertIsInstance(self.decide(4_700), Allowed)

    def test_open_routes_need_neither_key_nor_contact(self):
        self.table.apply(configuration(2, (route("/a/", is_open=True),)))
        allowed = self.decide(60_000, key=None)
        self.assertIsNone(allowed.account)

    def test_an_older_configuration_changes_nothing(self):
        self.assertTrue(self.table.apply(configuration(5, keys=("new",))))
        self.assertFalse(self.table.apply(configuration(4)))
        self.assertEqual(self.decide(key="k").reason, Reason.WRONG_KEY)

    def test_the_accounts_priority_goes_before_the_routes(self):
        self.assertEqual(self.decide().priority, 3)
        self.table.apply(configuration(2, priority=1))
        self.assertEqual(self.decide().priority, 1)

    def test_shares_are_drawn_by_weight_and_alike_for_one_request(self):
        shares = (ServiceShare("x", 90), ServiceShare("y", 10))
        self.table.apply(configuration(2, (route("/a/", shares=shares),)))
        drawn = [self.decide(request_id=f"r{n}").service for n in range(1_000)]
        again = [self.decide(request_id=f"r{n}").service for n in range(1_000)]
        self.assertEqual(drawn, again)
        self.assertTrue(60 < drawn.count("y") < 140, drawn.count("y"))

    def test_shares_below_one_are_drawn_like_others(self):
        shares = (ServiceShare("x", 0.45), ServiceShare("y", 0.05))
        self.table.apply(configuration(2, (route("/a/", shares=shares),)))
        drawn = [self.decide(request_id=f"r{n}").service for n in range(1_000)]
        self.assertTrue(60 < drawn.count("y") < 140, drawn.count("y"))
