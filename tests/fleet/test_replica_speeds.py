"""Replicas that report how slow their machine is; over sockets."""

from .node_fixtures import FleetTestCase


class ReplicaSpeedTests(FleetTestCase):
    """Three nodes; one of two plain replicas reports that it is slow."""

    async def test_all_nodes_know_a_slow_replica_after_one_answer(self):
        """Guards against reports of four figures that are dropped or not announced."""
        await self.start_nodes()
        slow = self.plain[0]
        slow.notices = [("X-Server-Load", "1,0,8,250")]
        await self.fetch_until(lambda: slow.executed_requests)

        def is_known_at(node):
            state = node._directory.find("p-1")
            return state is not None and state.speed.percent == 250

        await self.until(lambda: all(map(is_known_at, self.nodes)))
        gauges = [node._replica_components.gauges() for node in self.nodes]
        received = sum(item["speed_changes_received_total"] for item in gauges)
        self.assertGreaterEqual(received, 2)
        self.assertEqual(
            {item["speed_reports_unreadable_total"] for item in gauges}, {0}
        )
