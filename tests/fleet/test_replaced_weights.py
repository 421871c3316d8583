"""Weights that were replaced while a node could not hear of it; over sockets."""

import asyncio

from fireflyward.clock import Clock
from tests.platform_standins import ReplicaBehavior, StoreBehavior

from .node_fixtures import STREAM, FleetTestCase, NodeTestCase

_VERSION_MS = 12_000
_RUNNING_S = 3.0
_PATIENT = {**STREAM, "X-Deadline-Ms": "50000"}


class SuspendedClock(Clock):
    """The clock of a VM that can be suspended; timers do not count that time."""

    def __init__(self):
        self._suspended_ms = 0

    def now_ms(self):
        return super().now_ms() + self._suspended_ms

    def suspend_ms(self, duration_ms):
        self._suspended_ms += duration_ms


class _ReplacedWeightsCase(NodeTestCase):
    """Two engines that load nothing, so that all weights stay the older ones."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_timeouts_ms(60_000)
        self.clock = self.node._clock
        for engine in self.engines:
            engine.loading_s = 3_600

    def make_clock(self):
        return SuspendedClock()

    def suspend(self):
        """Suspend the node; the store's clock goes on meanwhile."""
        self.clock.suspend_ms(_VERSION_MS)
        self.store.passed_ms += _VERSION_MS

    async def name_version(self, version):
        self.operator.set_weights_version("m", version)
        await self.until(lambda: self.node._weights.newest("m") == version)

    async def post(self, node=None):
        return await self.fetch("POST", "/s/x", headers=_PATIENT, data=b"q", node=node)


class ReplacedWeightsTests(_ReplacedWeightsCase):
    async def test_weights_replaced_during_a_standstill_serve_no_requests(self):
        """Guards against counting a version's time from the end of a standstill."""
        await self.start_ready()
        await self.name_version(1)
        self.suspend()
        await self.name_version(2)
        await self.until(lambda: self.node.is_ready)
        status, headers, _ = await self.post()
        self.assertEqual((status, self.run_count(self.engines)), (503, 0))
        self.assertIn("Retry-After", headers)

    async def test_weights_replaced_during_a_later_standstill_serve_no_requests(self):
        """Guards against the same in a node that has run for some seconds."""
        await self.start_ready()
        await asyncio.sleep(_RUNNING_S)
        await self.name_version(1)
        self.suspend()
        await self.name_version(2)
        await self.until(lambda: self.node.is_ready)
        status, _, _ = await self.post()
        self.assertEqual((status, self.run_count(self.engines)), (503, 0))

    async def test_weights_replaced_at_an_unknown_time_before_the_start(self):
        """Guards against counting a version's time from the start of a node."""
        self.operator.set_weights_version("m", 2)
        await self.start_ready()
        status, headers, _ = await self.post()
        self.assertEqual((status, self.run_count(self.engines)), (503, 0))
        self.assertIn("Retry-After", headers)

    async def test_a_start_while_the_store_rejects_calls_is_no_outage(self):
        """Guards against counting a version's time from a node's first reading."""
        self.operator.set_weights_version("m", 2)
        self.operator.configure()
        self.store.behavior = StoreBehavior.RATE_LIMITED
        await self.start_node(self.node, "entry-1")
        rejected = len(self.store.requests)
        await self.until(lambda: len(self.store.requests) > rejected + 12)
        self.store.behavior = StoreBehavior.NORMAL
        await self.until(lambda: self.node.is_ready)
        await self.until(lambda: len(self.node._directory) == 4)
        status, _, _ = await self.post()
        self.assertEqual((status, self.run_count(self.engines)), (503, 0))

    async def test_a_request_that_waits_on_replaced_weights_is_withdrawn(self):
        """Guards against a request that waits in a replica's queue past the bound."""
        for engine in self.engines:
            engine.behaviors = [ReplicaBehavior.SILENT] * 2
        await self.start_ready()
        await self.name_version(1)
        request = asyncio.create_task(self.post())
        await self.until(lambda: self.run_count(self.engines) > 0)
        await self.name_version(2)
        self.suspend()
        await self.until(lambda: self.withdrawn_count() == self.run_count(self.engines))
        status, _, _ = await request
        self.assertEqual(status, 502)

    def withdrawn_count(self):
        return sum(engine.disconnected_callers for engine in self.engines)


class KnownReplacementTests(_ReplacedWeightsCase, FleetTestCase):
    """A node that did not hear of a version in time, beside one that did."""

    node_count = 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.operator.set_weights_version("m", 1)
        await self.start_nodes()
        await self.name_version(2)

    def replaced_ms(self, node):
        weights = node._weights
        return weights.replaced_ms(node._clock.now_ms(), "m", 1)

    async def test_a_node_that_starts_learns_when_the_version_was_named(self):
        """Guards against rejecting all prompts for a version that was just named."""
        node = await self.start_additional_node("entry-2")
        await self.until(lambda: self.is_joined(node))
        await self.until(lambda: self.replaced_ms(node) is not None)
        self.assertLess(self.replaced_ms(node), self.replaced_ms(self.node) + 2_000)
        status, _, _ = await self.post(node)
        self.assertEqual(status, 200)

    async def test_a_restart_of_all_nodes_keeps_when_the_version_was_named(self):
        """Guards against counting anew, or against an unknown age, after a restart."""
        row = ("fireflyward-nodes", "replaced/m")
        await self.until(lambda: self.store.value(*row) is not None)
        before_ms = self.replaced_ms(self.node)
        await self.stop_node()
        node = await self.start_additional_node("entry-2")
        await self.until(lambda: node.is_ready and self.replaced_ms(node) is not None)
        self.assertGreaterEqual(self.replaced_ms(node), before_ms)
        self.assertLess(self.replaced_ms(node), before_ms + 5_000)
