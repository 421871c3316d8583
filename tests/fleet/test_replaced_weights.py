"""Weights that were replaced while a node could not hear of it; over sockets."""

import asyncio

from fireflyward.clock import Clock
from tests.platform_standins import ReplicaBehavior

from .node_fixtures import STREAM, NodeTestCase

_VERSION_MS = 12_000
_PATIENT = {**STREAM, "X-Deadline-Ms": "50000"}


class SuspendedClock(Clock):
    """The clock of a VM that can be suspended; timers do not count that time."""

    def __init__(self):
        self._suspended_ms = 0

    def now_ms(self):
        return super().now_ms() + self._suspended_ms

    def suspend_ms(self, duration_ms):
        self._suspended_ms += duration_ms


class ReplacedWeightsTests(NodeTestCase):
    """Two engines that load nothing, so that all weights stay the older ones."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_timeouts_ms(60_000)
        self.clock = self.node._clock
        for engine in self.engines:
            engine.loading_s = 3_600

    def make_clock(self):
        return SuspendedClock()

    async def name_version(self, version):
        self.operator.set_weights_version("m", version)
        await self.until(lambda: self.node._weights.newest("m") == version)

    async def post(self):
        return await self.fetch("POST", "/s/x", headers=_PATIENT, data=b"q")

    async def test_weights_replaced_during_a_standstill_serve_no_requests(self):
        """Guards against counting a version's time from the end of a standstill."""
        await self.start_ready()
        await self.name_version(1)
        self.clock.suspend_ms(_VERSION_MS)
        await self.name_version(2)
        await self.until(lambda: self.node.is_ready)
        status, headers, _ = await self.post()
        self.assertEqual((status, self.run_count(self.engines)), (503, 0))
        self.assertIn("Retry-After", headers)

    async def test_weights_replaced_at_an_unknown_time_before_the_start(self):
        """Guards against counting a version's time from the start of a node."""
        self.operator.set_weights_version("m", 2)
        await self.start_ready()
        status, headers, _ = await self.post()
        self.assertEqual((status, self.run_count(self.engines)), (503, 0))
        self.assertIn("Retry-After", headers)

    async def test_a_request_that_waits_on_replaced_weights_is_withdrawn(self):
        """Guards against a request that waits in a replica's queue past the bound."""
        for engine in self.engines:
            engine.behaviors = [ReplicaBehavior.SILENT] * 2
        await self.start_ready()
        await self.name_version(1)
        request = asyncio.create_task(self.post())
        await self.until(lambda: self.run_count(self.engines) > 0)
        await self.name_version(2)
        self.clock.suspend_ms(_VERSION_MS)
        await self.until(lambda: self.withdrawn_count() == self.run_count(self.engines))
        status, _, _ = await request
        self.assertEqual(status, 502)

    def withdrawn_count(self):
        return sum(engine.disconnected_callers for engine in self.engines)
