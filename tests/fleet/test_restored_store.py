"""The platform's store is restored from an older snapshot; over sockets."""

import json

from fireflyward.feeds import TableUpdate
from fireflyward.reach._reach_structs import SilenceNews
from tests.platform_standins import StoreBehavior
from tests.positions import at

from .node_fixtures import FleetTestCase, NodeTestCase

_WRITES = 2_000


class RestoredStoreTests(NodeTestCase):
    """One node whose cursors are far above the versions in the snapshot."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_timeouts_ms(60_000)
        await self.start_ready()
        self.snapshot_version = self.store.version
        for _ in range(_WRITES):
            self.store.put("other", "key", b"")
        self.operator.configure()
        self.list_replicas()
        await self.until_in_force()
        await self.until(
            lambda: self.polled_version() > self.snapshot_version + _WRITES
        )

    def polled_version(self):
        """Return the version after which the node polled the list of replicas."""
        versions = [
            int(request.query["after"])
            for request in self.store.requests
            if request.query.get("table") == "servers" and "after" in request.query
        ]
        return max(versions, default=0)

    async def until_in_force(self):
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)

    def state(self, name):
        return self.node._directory.find(name)

    def announce_leaving(self, replica):
        entry = json.loads(replica.entry("plain"))
        leaving = json.dumps({**entry, "state": "draining"}).encode()
        self.store.put("servers", replica.incarnation, leaving)

    async def until_leaving(self, replica):
        await self.until(lambda: self.state(replica.incarnation).is_leaving)

    async def until_tables_reread(self):
        """Wait until the node has read both tables completely after this call."""
        before = len(self.store.requests)

        def is_read(table):
            return any(
                request.path == "/-/rows-get" and request.query["table"] == table
                for request in self.store.requests[before:]
            )

        await self.until(lambda: is_read("op") and is_read("servers"))
        await self.until(lambda: self.node.is_ready)

    async def test_a_configuration_of_the_new_era_is_applied(self):
        """Guards against ignoring a restored store until its versions catch up."""
        self.store.restore_snapshot(self.snapshot_version)
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        await self.until_in_force()
        status, _, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 401)

    async def test_a_replica_that_leaves_in_the_new_era_gets_no_requests(self):
        """Guards against a list of replicas that no longer changes after a restore."""
        self.store.restore_snapshot(self.snapshot_version)
        replica = self.plain[0]
        self.announce_leaving(replica)
        await self.until_leaving(replica)
        for _ in range(10):
            await self.fetch("GET", "/r/x")
        self.assertEqual(replica.executed_requests, [])

    async def test_a_withdrawn_key_stays_withdrawn_if_the_snapshot_has_it(self):
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        await self.until_in_force()
        self.store.restore_snapshot(self.snapshot_version, rewrite_lost=False)
        await self.until_tables_reread()
        status, _, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 401)

    async def test_a_replica_that_was_leaving_before_the_restore_still_is(self):
        replica = self.plain[0]
        self.announce_leaving(replica)
        await self.until_leaving(replica)
        self.store.restore_snapshot(self.snapshot_version, rewrite_lost=False)
        await self.until_tables_reread()
        self.assertTrue(self.state(replica.incarnation).is_leaving)

    async def test_two_restores_in_a_row(self):
        for _ in range(2):
            self.store.restore_snapshot(self.snapshot_version)
            self.operator.configure()
        await self.until_in_force()
        await self.until(lambda: self.node._store.eras.latest == 3)

    async def test_an_era_reported_by_an_aggregator_applies_to_writes(self):
        """Guards against sending conditions of an earlier era."""
        update = TableUpdate((), False, 0, position=at(1, 5))
        self.node._table_followers._followers[0]._on_update(update)
        self.assertEqual(self.node._store.eras.latest, 5)

    async def test_the_list_of_nodes_is_read_without_delay(self):
        """Guards against a table that lacks the rows of all nodes for seconds."""
        self.node._store.eras.observe(2)
        self.assertTrue(self.node._joining._poll_requested.is_set())

    async def test_versions_above_the_cursor_before_the_next_read(self):
        """Guards against missing changes below a cursor that is valid again."""
        self.store.behavior = StoreBehavior.BUSY
        self.store.restore_snapshot(self.snapshot_version)
        self.announce_leaving(self.plain[0])
        for _ in range(2 * _WRITES):
            self.store.put("other", "key", b"")
        self.store.behavior = StoreBehavior.NORMAL
        await self.until_leaving(self.plain[0])

    async def test_rows_written_again_after_the_first_read_are_applied(self):
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        self.store.restore_snapshot(self.snapshot_version, rewrite_lost=False)
        await self.until_tables_reread()
        self.store.rewrite_lost_rows()
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-3"]}])
        await self.until_in_force()

    async def test_new_weights_are_loaded_after_a_restore(self):
        self.store.restore_snapshot(self.snapshot_version)
        self.operator.set_weights_version("m", 2)
        await self.until(lambda: {e.version for e in self.engines} == {2})


class RestoredFleetTests(FleetTestCase):
    """Three nodes; the snapshot has none of the rows that they wrote."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.snapshot_version = self.store.version
        await self.start_nodes()
        self.key = self.store.value("fireflyward-nodes", "key")

    def listed_rows(self):
        names = ("entry-1", "entry-2", "entry-3")
        rows = (self.store.value("fireflyward-nodes", f"node/{x}") for x in names)
        return [row for row in rows if row is not None]

    async def until_listed(self):
        await self.until(lambda: len(self.listed_rows()) == len(self.nodes))
        await self.until(lambda: self.store.value("fireflyward-nodes", "key"))

    async def test_nodes_write_their_rows_again(self):
        self.store.restore_snapshot(self.snapshot_version)
        await self.until_listed()
        self.assertEqual(self.store.value("fireflyward-nodes", "key"), self.key)

    async def test_rows_are_written_again_although_responses_are_lost(self):
        self.store.behavior = StoreBehavior.DROPS_RESPONSES
        self.store.restore_snapshot(self.snapshot_version)
        await self.until_listed()
        self.store.behavior = StoreBehavior.NORMAL

    async def test_a_node_that_starts_before_the_operator_writes_again_has_newer_rows(
        self,
    ):
        """Guards against a new node that accepts a withdrawn key of the snapshot."""
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        self.operator.evacuate("b")
        version = self.operator.configuration["version"]
        await self.until(lambda: all(x._routes.version == version for x in self.nodes))
        await self.until(lambda: all(x._directory.evacuated for x in self.nodes))
        self.store.restore_snapshot(self.snapshot_version, rewrite_lost=False)
        await self.until(lambda: all(x._store.eras.latest == 2 for x in self.nodes))
        late = await self.start_additional_node("entry-4")
        await self.until(lambda: late._routes.version == version)
        await self.until(lambda: late._directory.evacuated == {"b"})
        status, _, _ = await self.fetch("GET", "/r/x", node=late)
        self.assertEqual(status, 401)
        self.store.rewrite_lost_rows()
        self.operator.withdraw_evacuation("b")
        await self.until(lambda: not late._directory.evacuated)

    async def test_a_node_that_starts_during_a_restore_joins_the_others(self):
        """Guards against a node that permanently keeps a key of its own."""
        self.store.restore_snapshot(self.snapshot_version)
        late = await self.start_additional_node("entry-4")
        await self.until(lambda: self.is_joined(late))
        # The others are known from the table before the node has opened its link.
        await self.until(lambda: late._joining.link is not None)
        link = self.nodes[1]._joining.link
        received_from = []

        async def on_message(sender, message):
            received_from.append(sender)

        late._joining.link.register("probe", SilenceNews, on_message)
        address = late._joining.link.address

        def is_received():
            link.send(address, "probe", SilenceNews(failure_domain="a"))
            return bool(received_from)

        await self.until(is_received)
