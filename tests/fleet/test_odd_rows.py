"""Rows of the system's own tables that no node of this build wrote."""

import json

from fireflyward.fleet._peers import NODE_TABLE
from fireflyward.peers._node_structs import Behind

from .node_fixtures import FleetTestCase

NODE = {"ip": "127.0.0.1", "port": 9, "failure_domain": "a", "link_mbps": 1_000.0}
NO_NODES = (
    {"port": 70_000},
    {"port": 0},
    {"port": -1},
    {"port": 2**63},
    {"ip": "a\0b"},
    {"ip": "h" * 300},
    {"ip": "node.example"},
    {"ip": ""},
    {"link_mbps": -1.0},
    {"link_mbps": 1e308},
)
KEYS = (
    "key",
    "node/odd",
    "suspect/odd",
    "trial",
    "poison/1f",
    "poison-suspect/1f",
    "replaced/m",
    "software/plain",
)


class OddRowTests(FleetTestCase):
    async def put_and_read(self, rows):
        """Write rows, and a node's last; wait until all nodes have read it."""
        for key, value in rows.items():
            self.store.put(NODE_TABLE, key, value)
        self.store.put(NODE_TABLE, "node/zz-last", json.dumps(NODE).encode())
        for node in self.nodes:
            await self.until(lambda node=node: "zz-last" in node._node_registry.names())

    async def test_a_row_of_no_node_closes_no_socket(self):
        """Guards against one row that closes the datagram sockets of all nodes."""
        await self.start_nodes()
        rows = {
            f"node/odd-{number}": json.dumps({**NODE, **changes}).encode()
            for number, changes in enumerate(NO_NODES)
        }
        await self.put_and_read(rows)
        links = [node._joining.link for node in self.nodes]
        received = set()
        for link in links:

            async def receive(sender, message, name=link.node_name):
                received.add((sender, name))

            link.register("greeting", Behind, receive)
        # What follows the invalid addresses of the list is sent too.
        addresses = [*self.nodes[0]._aggregators.all_addresses(), links[0].address]
        for link in links:
            link.send_all(addresses, "greeting", Behind(incarnation=1))
        await self.until(lambda: len(received) == len(links) ** 2)
        for node in self.nodes:
            self.assertEqual(len(node._node_registry.names()), len(self.nodes) + 1)

    async def test_the_table_is_followed_beside_nested_rows(self):
        """Guards against one row that keeps all nodes from reading the others."""
        await self.start_nodes()
        with self.assertNoLogs("fireflyward.process", "ERROR"):
            await self.put_and_read(dict.fromkeys(KEYS, b'{"x":' + b"[" * 100_000))
            await self.fetch("GET", "/r/x")
