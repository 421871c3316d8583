"""The table of nodes names nodes that were removed for good."""

import asyncio

import msgspec

from fireflyward.fleet._node import FleetNode
from fireflyward.fleet._peers import NODE_TABLE, NodeRow

from .node_fixtures import NodeTestCase

_GONE_NODES = 7
# Nodes with faster links come first for every duty, so the gone nodes do.
_GONE_LINK_MBPS = 1e9
_GONE_ADDRESS = "127.0.0.2"
# The time in which the platform wants new weights to be loaded.
_VERSION_S = 12


class GoneNodesTests(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(_GONE_NODES):
            row = NodeRow(_GONE_ADDRESS, 9 + number, "zone-1", _GONE_LINK_MBPS)
            key = f"node/gone-{number}"
            self.store.put(NODE_TABLE, key, msgspec.json.encode(row))
        self.successor = FleetNode(
            self.settings(**{"node-name": "entry-2"}),
            clock=self.make_clock(),
            balancer_notice_ms=self.balancer_notice_ms,
        )
        self.addAsyncCleanup(self.successor.stop)

    async def test_a_released_lease_is_taken_though_all_first_nodes_have_gone(self):
        """Guards against weights that no node orders after many nodes were replaced."""
        await self.start_ready()
        await self.until(lambda: self.node._lease.claim() is not None)
        await self.start_node(self.successor, "entry-2")
        await self.until(lambda: self.successor.is_ready)
        await self.until(lambda: len(self.node._node_registry.names()) == 9)
        await self.stop_node()
        async with asyncio.timeout(_VERSION_S):
            while self.successor._lease.claim() is None:
                await asyncio.sleep(0.05)

    async def test_a_node_that_has_not_read_the_list_does_not_contend(self):
        """Guards against a node that takes the lease as the only one that it knows."""
        registry = self.node._node_registry
        self.assertFalse(registry.is_among_first(7, "weights"))
        self.assertEqual(registry.place("weights"), 1.0)
        await self.start_ready()
        await self.until(lambda: registry.is_complete)
        self.assertFalse(registry.is_among_first(7, "weights"))
        self.assertEqual(registry.place("weights"), _GONE_NODES / (_GONE_NODES + 1))
