"""News that waited in a node's socket while the node stood still; over sockets."""

import asyncio

from fireflyward.replicas import InFlightLoad

from .node_fixtures import FleetTestCase
from .test_replaced_weights import SuspendedClock


class DelayedNewsTests(FleetTestCase):
    """Two nodes, of which the second one does not run while the first one sends."""

    node_count = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_nodes()
        self.first, self.second = self.nodes
        self.second_replica = self.second._directory.find("p-1")

    def make_clock(self):
        return SuspendedClock()

    def send_and_stand_still(self, send):
        """Let the first node send, and the second one read it 8 s later."""
        send(self.first._joining.link)
        self.second._clock.suspend_ms(8_000)

    async def test_a_limit_that_was_sent_before_a_standstill_is_not_believed(self):
        """Guards against a rate limit that is over and counts as just reported.

        The node would also announce it to others as newer than its end. That a replica
        leaves holds whenever it was sent.
        """
        limited, leaving = (self.first._directory.find(x) for x in ("p-1", "p-2"))
        limit = limited.backpressure.limit
        limit.on_limit_named(self.first._clock.now_ms(), 0.5)
        self.first._directory.on_leaving(leaving)
        notices = self.first._replica_components.notices
        self.send_and_stand_still(
            lambda link: notices._send(notices._peers(), [limited, leaving])
        )
        now_ms = self.first._clock.now_ms()
        limit.on_no_limit(now_ms, now_ms)
        second_leaving = self.second._directory.find("p-2")
        await self.until(lambda: second_leaving.backpressure.is_leaving)
        self.assertIsNone(self.second_replica.backpressure.limit.per_second)

    async def test_a_load_that_was_sent_before_a_standstill_does_not_count(self):
        """Guards against loads of seconds ago by which a node chooses replicas."""
        replica_id = self.second_replica.incarnation_id
        loads = {replica_id: InFlightLoad(90_000, 90_000, 40)}
        task = self.first._replica_components.load_report_task
        task._own = lambda: loads
        self.send_and_stand_still(task.report)
        task.report = lambda link: None
        peer_load = self.second._replica_components._peer_load
        received = self.second._joining.link
        bytes_before = received.bytes_received
        await self.until(lambda: received.bytes_received > bytes_before)
        await asyncio.sleep(0.02)
        load = peer_load.at(self.second._clock.now_ms(), replica_id)
        self.assertEqual(load.requests, 0)

    async def test_a_load_of_weights_announced_before_a_standstill_is_over(self):
        """Guards against replicas that get no requests for 5 s after they loaded.

        That a replica has loaded holds whenever it was announced.
        """
        engines = [self.second._directory.find(name) for name in ("e-1", "e-2")]
        announcer = self.first._load_announcer
        names = [state.incarnation_id for state in engines]
        self.second._clock.suspend_ms(8_000)
        await announcer.announce_loading(names[:1], "m", 2, 5_000)
        await announcer.announce_loaded(names[1], "m", 2)
        await self.until(lambda: engines[1].version_by_model == {"m": 2})
        self.assertFalse(engines[0].is_loading(self.second._clock.now_ms()))
