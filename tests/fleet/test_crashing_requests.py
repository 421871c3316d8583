"""Seven replicas ended within ten seconds, one after the other, and each time some ten
requests of other callers were cut with them.

A caller asked for work that ends whatever replica begins on it. It was told "unknown",
and the same work came again under a new id, at another node. No node remembered what
had been under way where a replica ended, and each id was new, so each time it went to
the next sound replica. After the third had ended under it, it was sent on four times
more.

What settled it were lines of the nodes as these, of one spell: the same account and
route among the cut requests of every end, each with ``sends`` 1 and an id of its own.

    66.9253 connection closed, i-895b61416b, left_ms 12929
    66.9453 no connection to 10.1.64.41:8622: [Errno 111] Connect call failed
    69.4647 connection closed, i-db2de9c9a9
    69.6534 connection closed, i-3ddd9c164e
    69.6596 i-895b61416b of dego97a gone: removed

A replica that ended refuses connections in the same moment, and its entry goes 2.7 s
later.
"""

import asyncio
import json

import aiohttp

from fireflyward.clock import Clock
from fireflyward.fleet._node import FleetNode
from fireflyward.fleet._peers import NODE_TABLE
from fireflyward.quarantine import MAX_CRASHES, fingerprint_of
from tests.platform_standins import DEADLY, Manner, ReplicaStandIn

from .node_fixtures import STREAM, FleetTestCase

# What the users allow: three replicas, and three more sends where the news lags.
_MOST_ENDS = 6


class CrashingRequestTests(FleetTestCase):
    """Three nodes; a replica that ends is gone, and another comes in its place."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # A stream that may not be resumed runs once for each time that it is asked.
        self.operator.configuration["routes"][0]["resumable"] = False
        await self.start_nodes()
        self.ended = []

    async def asyncTearDown(self):
        await super().asyncTearDown()
        for replica in self.ended:
            await replica.stop()

    async def ask_at(self, node, method, path, **options):
        try:
            async with asyncio.timeout(10):
                return await self.ask(method, path, node=node, **options)
        except aiohttp.ClientError:
            return None, {}, b""

    async def replace_ended(self, replicas, service, model=None):
        """Have another start take the place of each replica that has ended."""
        for index, replica in enumerate(replicas):
            if not replica.has_crashed:
                continue
            self.ended.append(replica)
            number = len(self.ended)
            self.store.remove("servers", replica.incarnation)
            fresh = ReplicaStandIn(f"{service}-again-{number}", model=model)
            await fresh.start()
            replicas[index] = fresh
            self.store.put("servers", fresh.incarnation, fresh.entry(service))
            await self.until_all_list(fresh.incarnation)

    async def until_all_list(self, name):
        await self.until(lambda: all(node._directory.find(name) for node in self.nodes))

    async def ask_over_and_over(self, method, path, replicas, service, **options):
        """Ask the deadly work a dozen times, at each node in turn."""
        model = "m" if service == "engines" else None
        statuses = []
        for number in range(12):
            node = self.nodes[number % self.most_nodes]
            answer = await self.ask_at(node, method, path, data=DEADLY, **options)
            statuses.append(answer[0])
            await self.replace_ended(replicas, service, model)
        return statuses

    async def test_a_stream_that_ends_its_replicas_is_not_sent_on_for_ever(self):
        statuses = await self.ask_over_and_over(
            "POST", "/s/x", self.engines, "engines", headers=STREAM
        )
        self.assertLessEqual(len(self.ended), _MOST_ENDS)
        self.assertEqual(statuses[-1], 503)

    async def test_work_that_may_repeat_is_not_sent_on_for_ever(self):
        """A node's own second send is one more replica that ends."""
        statuses = await self.ask_over_and_over("GET", "/r/x", self.plain, "plain")
        self.assertLessEqual(len(self.ended), _MOST_ENDS)
        self.assertEqual(statuses[-1], 503)

    def kept_ends(self):
        """Return how many ends of the deadly work the table holds."""
        fingerprint = fingerprint_of("acme", "/w/x", DEADLY)
        value = self.store.value(NODE_TABLE, f"suspect/{fingerprint}")
        return len(json.loads(value)["ends"]) if value else 0

    async def test_nodes_that_start_anew_know_of_it(self):
        """After a loss of power the same request goes on to end replicas.

        It was held, and every process ended; those that start know only what the
        platform kept.
        """
        for number in range(4):
            await self.ask_at(
                self.nodes[number % self.most_nodes], "POST", "/w/x", data=DEADLY
            )
            await self.replace_ended(self.plain, "plain")
        before = len(self.ended)
        await self.until(lambda: self.kept_ends() == MAX_CRASHES)
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.nodes = [
            FleetNode(
                self.settings(**{"node-name": f"entry-{number}"}),
                clock=Clock(),
                noticed_ms=50,
            )
            for number in range(1, self.most_nodes + 1)
        ]
        self.node = self.nodes[0]
        for node in self.nodes:
            await node.start()
        await self.until(lambda: all(self.knows_everyone(node) for node in self.nodes))
        for node in self.nodes:
            status, headers, _ = await self.ask_at(node, "POST", "/w/x", data=DEADLY)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 60)
        self.assertEqual(len(self.ended), before)

    async def test_nodes_that_cannot_reach_each_other_know_of_it(self):
        """A cut between nodes lets each of them end three replicas.

        No news came through, and each counted its own ends alone. The table that
        all read holds them from the second on.
        """
        for node in self.nodes:
            node._quarantine._announcer._link = None
        statuses = await self.ask_over_and_over("POST", "/w/x", self.plain, "plain")
        self.assertLessEqual(len(self.ended), _MOST_ENDS)
        self.assertEqual(statuses[-1], 503)

    async def test_connections_that_break_at_sound_replicas_hold_nothing(self):
        """A harmless request was refused, and no replica had ended."""
        for number in range(9):
            for replica in self.plain:
                replica.manners = [Manner.RESETS]
            status, _, _ = await self.ask_at(
                self.nodes[number % self.most_nodes], "POST", "/w/x", data=b"harmless"
            )
            self.assertEqual(status, 502)
        for replica in self.plain:
            replica.manners = []
        status, _, _ = await self.ask_at(self.node, "POST", "/w/x", data=b"harmless")
        self.assertEqual(status, 200)

    async def test_a_replica_that_leaves_as_planned_is_no_end(self):
        """A request was refused because releases cut it three times."""
        for number in range(4):
            leaving = self.plain[0]
            leaving.manners = [Manner.SILENT]
            self.store.remove("servers", self.plain[1].incarnation)
            await self.until(lambda: len(self.node._directory) == 3)
            self.assertEqual(await self.ask_while_it_leaves(leaving), 502)
            self.plain[0] = ReplicaStandIn(f"released-{number}")
            await self.plain[0].start()
            self.list_replicas()
            await self.until(lambda: len(self.node._directory) == 4)
        status, _, _ = await self.ask_at(self.node, "POST", "/w/x", data=b"harmless")
        self.assertEqual(status, 200)

    async def ask_while_it_leaves(self, replica):
        asked = asyncio.create_task(
            self.ask_at(self.node, "POST", "/w/x", data=b"harmless")
        )
        await self.until(lambda: replica.ran or asked.done())
        await self.leave(replica)
        status, _, _ = await asked
        return status

    async def leave(self, replica):
        """Have a replica say that it leaves, and end."""
        name = replica.incarnation
        self.store.put("servers", name, replica.entry("plain", state="draining"))
        await self.until(lambda: self.node._directory.find(name).entry.is_leaving)
        replica.crash()
        self.ended.append(replica)
        self.store.remove("servers", name)

    async def ask_both(self, node):
        """Have a harmless request under way while the deadly one is asked."""
        (replica,) = self.plain
        replica.manners = [Manner.SILENT, Manner.WELL]
        beside = asyncio.create_task(
            self.ask_at(node, "POST", "/w/beside", data=b"harmless")
        )
        await self.until(lambda: replica.ran or beside.done())
        status, _, _ = await self.ask_at(node, "POST", "/w/x", data=DEADLY)
        beside.cancel()
        await asyncio.gather(beside, return_exceptions=True)
        return status

    async def test_what_merely_ran_beside_it_is_served(self):
        """It is under way at each replica that ends, and its caller asks again too."""
        spare = self.plain.pop()
        self.addAsyncCleanup(spare.stop)
        self.store.remove("servers", spare.incarnation)
        await self.until(lambda: all(len(node._directory) == 3 for node in self.nodes))
        statuses = []
        for number in range(_MOST_ENDS):
            statuses.append(await self.ask_both(self.nodes[number % self.most_nodes]))
            await self.replace_ended(self.plain, "plain")
        self.assertIn(503, statuses)
        self.plain[0].manners = []
        for node in self.nodes:
            status, _, _ = await self.ask_at(
                node, "POST", "/w/beside", data=b"harmless"
            )
            self.assertEqual(status, 200)
