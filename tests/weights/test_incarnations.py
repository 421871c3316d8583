"""Orders to a replica that has restarted under the same name."""

import unittest

from fireflyward.clock import ManualClock, Standstills
from fireflyward.forwarding import WeightVersions
from fireflyward.leases import Claim
from fireflyward.platform import OrderResult, ReplicaReport
from fireflyward.replicas import ReplicaDirectory
from fireflyward.weights import Order, WeightTask
from tests.replicas.makers import entry


class _Lease:
    def claim(self):
        return Claim(1, 1_000_000, False)


class _Api:
    """Reports a replica that started at ``started_ms``, and records orders."""

    def __init__(self):
        self.started_ms = 1_000
        self.orders = []

    async def report(self, address, incarnation, *, limit_ms):
        return ReplicaReport(False, 0, 0, 0, {"m": 1}, self.started_ms)

    async def order_weights(self, address, incarnation, **order):
        self.orders.append(order)
        return OrderResult(False, True, "409")


class RestartTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.api = _Api()
        self.directory = ReplicaDirectory()
        row = entry("r1", version=1, started_ms=1_000)
        self.directory.on_full_read(0, [row])
        self.order = Order("r1", row.incarnation_id, "r1:80", "m", 2)
        self.task = WeightTask(
            clock=ManualClock(),
            lease=_Lease(),
            api=self.api,
            directory=self.directory,
            weights=WeightVersions(version_ms=12_000),
            announcer=None,
            busy_ms=lambda now_ms, state: 0.0,
            node="entry-1",
            lease_ms=1_000_000,
            slack_ms=0,
            standstills=Standstills(clock=ManualClock()),
        )

    async def test_the_planned_incarnation_is_ordered(self):
        await self.task._load(self.order, 0)
        self.assertEqual(len(self.api.orders), 1)

    async def test_a_later_incarnation_gets_no_order_for_the_former(self):
        """Guards against a replica that loads twice, or loads the version it has.

        The replica restarted between the plan and the order. Its count of orders
        started at zero again, so that the order had the number that the replica
        expected.
        """
        self.api.started_ms = 2_000
        await self.task._load(self.order, 0)
        self.assertEqual(self.api.orders, [])

    async def test_an_incarnation_replaced_in_the_list_gets_no_order(self):
        again = entry("r1", version=1, started_ms=2_000)
        self.directory.on_changes(0, [again], [])
        await self.task._load(self.order, 0)
        self.assertEqual(self.api.orders, [])

    async def test_a_replica_that_reports_no_start_time_is_ordered(self):
        self.api.started_ms = 0
        await self.task._load(self.order, 0)
        self.assertEqual(len(self.api.orders), 1)
