"""Replicas that name a rate limit in their answers, over sockets."""

from .node_fixtures import FleetTestCase

LIMIT = "Server-Limit"
PER_SECOND = 1.0
WINDOW_S = 4.0
# What the users allow of a limit in their window.
MOST_IN_WINDOW = 1.5 * WINDOW_S * PER_SECOND + 5


class RateLimitTests(FleetTestCase):
    """Three nodes; one of two plain replicas names a limit from the start."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_nodes()
        self.limited, self.other = self.plain
        self.limited.notices = [(LIMIT, str(PER_SECOND))]

    async def ask_all_nodes(self, times, method="GET", path="/r/x", **options):
        """Ask each node in turn; return the statuses."""
        statuses = []
        for number in range(times):
            node = self.nodes[number % len(self.nodes)]
            status, _, _ = await self.ask(method, path, node=node, **options)
            statuses.append(status)
        return statuses

    def most_in_window(self, replica):
        arrived_s = [request.arrived_s for request in replica.ran]
        return max(
            sum(first <= at < first + WINDOW_S for at in arrived_s)
            for first in arrived_s
        )

    async def test_nodes_together_send_no_more_than_a_replica_takes(self):
        """Guards against a limited replica that gets its usual share of the load."""
        await self.ask_all_nodes(15)
        self.assertNotIn(503, await self.ask_all_nodes(60))
        self.assertLessEqual(self.most_in_window(self.limited), MOST_IN_WINDOW)
