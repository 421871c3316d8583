"""The platform's store comes back from an older copy, over sockets."""

import json

from fireflyward.feeds import TableUpdate
from fireflyward.reach._reach_structs import SilenceNews
from tests.platform_standins import StoreBehavior
from tests.positions import at

from .node_fixtures import FleetTestCase, NodeTestCase

_WRITES = 2_000


class OlderCopyTests(NodeTestCase):
    """One node whose cursors stand far above the versions that the copy has."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_timeouts_ms(60_000)
        await self.start_ready()
        self.copied = self.store.version
        for _ in range(_WRITES):
            self.store.put("other", "key", b"")
        self.operator.configure()
        self.list_replicas()
        await self.until_in_force()
        await self.until(lambda: self.replicas_asked_after() > self.copied + _WRITES)

    def replicas_asked_after(self):
        """Return the version after which the node asked for changes of the list."""
        asked = [
            int(request.query["after"])
            for request in self.store.requests
            if request.query.get("table") == "servers" and "after" in request.query
        ]
        return max(asked, default=0)

    async def until_in_force(self):
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)

    def state(self, name):
        return self.node._directory.find(name)

    def say_that_it_leaves(self, replica):
        entry = json.loads(replica.entry("plain"))
        leaving = json.dumps({**entry, "state": "draining"}).encode()
        self.store.put("servers", replica.incarnation, leaving)

    async def until_leaving(self, replica):
        await self.until(lambda: self.state(replica.incarnation).is_leaving)

    async def until_read_anew(self):
        """Wait until both tables were read whole since this call."""
        before = len(self.store.requests)

        def is_read(table):
            return any(
                request.path == "/-/rows-get" and request.query["table"] == table
                for request in self.store.requests[before:]
            )

        await self.until(lambda: is_read("op") and is_read("servers"))
        await self.until(lambda: self.node.is_ready)

    async def test_a_configuration_of_the_new_era_comes_into_force(self):
        """Guards against a copy that counts as lagging until its versions catch up."""
        self.store.restore_snapshot(self.copied)
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        await self.until_in_force()
        status, _, _ = await self.ask("GET", "/r/x")
        self.assertEqual(status, 401)

    async def test_a_replica_that_leaves_in_the_new_era_gets_nothing(self):
        """Guards against a list of replicas that stands still after a drill."""
        self.store.restore_snapshot(self.copied)
        replica = self.plain[0]
        self.say_that_it_leaves(replica)
        await self.until_leaving(replica)
        for _ in range(10):
            await self.ask("GET", "/r/x")
        self.assertEqual(replica.executed_requests, [])

    async def test_a_withdrawn_key_stays_so_through_a_copy_that_has_it(self):
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        await self.until_in_force()
        self.store.restore_snapshot(self.copied, rewrite_lost=False)
        await self.until_read_anew()
        status, _, _ = await self.ask("GET", "/r/x")
        self.assertEqual(status, 401)

    async def test_a_replica_that_had_said_so_still_leaves(self):
        replica = self.plain[0]
        self.say_that_it_leaves(replica)
        await self.until_leaving(replica)
        self.store.restore_snapshot(self.copied, rewrite_lost=False)
        await self.until_read_anew()
        self.assertTrue(self.state(replica.incarnation).is_leaving)

    async def test_two_drills_in_a_row(self):
        for _ in range(2):
            self.store.restore_snapshot(self.copied)
            self.operator.configure()
        await self.until_in_force()
        await self.until(lambda: self.node._store.eras.latest == 3)

    async def test_an_era_that_an_aggregator_tells_of_counts_for_writes(self):
        """Guards against conditions of an earlier era that are sent meanwhile."""
        news = TableUpdate((), False, 0, position=at(1, 5))
        self.node._followers[0]._on_update(news)
        self.assertEqual(self.node._store.eras.latest, 5)

    async def test_the_list_of_nodes_is_read_without_delay(self):
        """Guards against seconds in which nobody's row is there."""
        self.node._store.eras.observe(2)
        self.assertTrue(self.node._joining._is_wanted_soon.is_set())

    async def test_versions_that_have_passed_the_cursor_when_it_is_read(self):
        """Guards against changes below a cursor that the store knows again."""
        self.store.behavior = StoreBehavior.BUSY
        self.store.restore_snapshot(self.copied)
        self.say_that_it_leaves(self.plain[0])
        for _ in range(2 * _WRITES):
            self.store.put("other", "key", b"")
        self.store.behavior = StoreBehavior.NORMAL
        await self.until_leaving(self.plain[0])

    async def test_what_is_written_again_after_the_first_reading_counts(self):
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        self.store.restore_snapshot(self.copied, rewrite_lost=False)
        await self.until_read_anew()
        self.store.rewrite_lost_rows()
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-3"]}])
        await self.until_in_force()

    async def test_new_weights_are_loaded_after_a_drill(self):
        self.store.restore_snapshot(self.copied)
        self.operator.set_weights_version("m", 2)
        await self.until(lambda: {e.version for e in self.engines} == {2})


class FleetInDrillTests(FleetTestCase):
    """Three nodes; the copy has nothing of what they wrote."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.copied = self.store.version
        await self.start_nodes()
        self.key = self.store.value("fireflyward-nodes", "key")

    def listed(self):
        names = ("entry-1", "entry-2", "entry-3")
        rows = (self.store.value("fireflyward-nodes", f"node/{x}") for x in names)
        return [row for row in rows if row is not None]

    async def until_listed(self):
        await self.until(lambda: len(self.listed()) == len(self.nodes))
        await self.until(lambda: self.store.value("fireflyward-nodes", "key"))

    async def test_nodes_write_again_what_they_wrote(self):
        self.store.restore_snapshot(self.copied)
        await self.until_listed()
        self.assertEqual(self.store.value("fireflyward-nodes", "key"), self.key)

    async def test_rows_are_written_again_though_answers_are_lost(self):
        self.store.behavior = StoreBehavior.DROPS_RESPONSES
        self.store.restore_snapshot(self.copied)
        await self.until_listed()
        self.store.behavior = StoreBehavior.NORMAL

    async def test_a_node_that_starts_before_the_operator_wrote_again_knows_better(
        self,
    ):
        """Guards against a withdrawn key that a new node accepts from the copy."""
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        self.operator.evacuate("b")
        version = self.operator.configuration["version"]
        await self.until(lambda: all(x._routes.version == version for x in self.nodes))
        await self.until(lambda: all(x._directory.evacuated for x in self.nodes))
        self.store.restore_snapshot(self.copied, rewrite_lost=False)
        await self.until(lambda: all(x._store.eras.latest == 2 for x in self.nodes))
        late = await self.start_another("entry-4")
        await self.until(lambda: late._routes.version == version)
        await self.until(lambda: late._directory.evacuated == {"b"})
        status, _, _ = await self.ask("GET", "/r/x", node=late)
        self.assertEqual(status, 401)
        self.store.rewrite_lost_rows()
        self.operator.withdraw_evacuation("b")
        await self.until(lambda: not late._directory.evacuated)

    async def test_a_node_that_starts_in_a_drill_joins_the_others(self):
        """Guards against a node that draws a key of its own for good."""
        self.store.restore_snapshot(self.copied)
        late = await self.start_another("entry-4")
        await self.until(lambda: self.knows_everyone(late))
        link = self.nodes[1]._joining.link
        answer = []

        async def heard(sender, message):
            answer.append(sender)

        late._joining.link.register("probe", SilenceNews, heard)
        address = late._joining.link.address

        def is_heard():
            link.send(address, "probe", SilenceNews(failure_domain="a"))
            return bool(answer)

        await self.until(is_heard)
