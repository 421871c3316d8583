"""Guards against a request that crashes one replica after the other.

One caller's request crashed every replica that began to run it. Seven replicas crashed
within ten seconds, one after the other, and each crash cut some ten requests of other
callers.

The caller got the outcome "unknown" and sent the request again, with a new id and to
another node. No node recorded which requests were in flight when a replica crashed, and
each id was new, so each time the request was sent to the next replica. After its third
crash the request was sent four more times.

The nodes' logs showed the cause: each crash had cut a request of the same account and
route, each with ``sends`` 1 and its own id. A crashed replica refuses connections at
once, and its entry is removed 2.7 s later.
"""

import asyncio
import json

import aiohttp

from fireflyward.clock import Clock
from fireflyward.fleet._node import FleetNode
from fireflyward.fleet._peers import NODE_TABLE
from fireflyward.quarantine import MAX_CRASHES, fingerprint_of
from tests.platform_standins import CRASHING_BODY, ReplicaBehavior, ReplicaStandIn

from .node_fixtures import STREAM, FleetTestCase

# The users allow three crashes, and three more until all nodes have recorded them.
_MAX_TOTAL_CRASHES = 6


class CrashingRequestTests(FleetTestCase):
    """Three nodes; another replica replaces each one that has crashed."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # A stream that is not resumable runs once for each request of the caller.
        self.operator.configuration["routes"][0]["resumable"] = False
        await self.start_nodes()
        self.crashed = []

    async def asyncTearDown(self):
        await super().asyncTearDown()
        for replica in self.crashed:
            await replica.stop()

    async def fetch_at(self, node, method, path, **options):
        try:
            async with asyncio.timeout(10):
                return await self.fetch(method, path, node=node, **options)
        except aiohttp.ClientError:
            return None, {}, b""

    async def replace_crashed(self, replicas, service, model=None):
        """Replace each replica that has crashed by a new one."""
        for index, replica in enumerate(replicas):
            if not replica.has_crashed:
                continue
            self.crashed.append(replica)
            number = len(self.crashed)
            self.store.remove("servers", replica.incarnation)
            fresh = ReplicaStandIn(f"{service}-again-{number}", model=model)
            await fresh.start()
            replicas[index] = fresh
            self.store.put("servers", fresh.incarnation, fresh.entry(service))
            await self.until_listed_everywhere(fresh.incarnation)

    async def until_listed_everywhere(self, name):
        await self.until(lambda: all(node._directory.find(name) for node in self.nodes))

    async def send_crashing_requests(self, method, path, replicas, service, **options):
        """Send the crashing request a dozen times, to each node in turn."""
        model = "m" if service == "engines" else None
        statuses = []
        for number in range(12):
            node = self.nodes[number % self.node_count]
            response = await self.fetch_at(
                node, method, path, data=CRASHING_BODY, **options
            )
            statuses.append(response[0])
            await self.replace_crashed(replicas, service, model)
        return statuses

    async def test_a_stream_that_crashes_replicas_is_rejected(self):
        statuses = await self.send_crashing_requests(
            "POST", "/s/x", self.engines, "engines", headers=STREAM
        )
        self.assertLessEqual(len(self.crashed), _MAX_TOTAL_CRASHES)
        self.assertEqual(statuses[-1], 503)

    async def test_an_idempotent_request_that_crashes_replicas_is_rejected(self):
        """The node's own retry crashes one more replica."""
        statuses = await self.send_crashing_requests("GET", "/r/x", self.plain, "plain")
        self.assertLessEqual(len(self.crashed), _MAX_TOTAL_CRASHES)
        self.assertEqual(statuses[-1], 503)

    def stored_crash_count(self):
        """Return how many crashes by the crashing request the table contains."""
        fingerprint = fingerprint_of("acme", "/w/x", CRASHING_BODY)
        value = self.store.value(NODE_TABLE, f"suspect/{fingerprint}")
        return len(json.loads(value)["ends"]) if value else 0

    async def test_restarted_nodes_still_reject_it(self):
        """Guards against a request that crashes replicas again after a loss of power.

        The request was in quarantine when all processes lost power. The restarted nodes
        have only the state that the platform's store kept.
        """
        for number in range(4):
            await self.fetch_at(
                self.nodes[number % self.node_count], "POST", "/w/x", data=CRASHING_BODY
            )
            await self.replace_crashed(self.plain, "plain")
        before = len(self.crashed)
        await self.until(lambda: self.stored_crash_count() == MAX_CRASHES)
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.nodes = [
            FleetNode(
                self.settings(**{"node-name": f"entry-{number}"}),
                clock=Clock(),
                balancer_notice_ms=50,
            )
            for number in range(1, self.node_count + 1)
        ]
        self.node = self.nodes[0]
        for node in self.nodes:
            await node.start()
        await self.until(lambda: all(self.is_joined(node) for node in self.nodes))
        for node in self.nodes:
            status, headers, _ = await self.fetch_at(
                node, "POST", "/w/x", data=CRASHING_BODY
            )
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 60)
        self.assertEqual(len(self.crashed), before)

    async def test_nodes_that_cannot_reach_each_other_reject_it(self):
        """Guards against three crashed replicas for each node in a network partition.

        No announcement of a crash arrived, and each node counted only the crashes that
        it had observed itself. From the second crash of a request on, its crashes are
        in the table that all nodes read.
        """
        for node in self.nodes:
            node._crashes.quarantine._announcer._link = None
        statuses = await self.send_crashing_requests(
            "POST", "/w/x", self.plain, "plain"
        )
        self.assertLessEqual(len(self.crashed), _MAX_TOTAL_CRASHES)
        self.assertEqual(statuses[-1], 503)

    async def test_broken_connections_without_a_crash_quarantine_nothing(self):
        """Guards against rejecting a harmless request although no replica crashed."""
        for number in range(9):
            for replica in self.plain:
                replica.behaviors = [ReplicaBehavior.RESETS]
            status, _, _ = await self.fetch_at(
                self.nodes[number % self.node_count], "POST", "/w/x", data=b"harmless"
            )
            self.assertEqual(status, 502)
        for replica in self.plain:
            replica.behaviors = []
        status, _, _ = await self.fetch_at(self.node, "POST", "/w/x", data=b"harmless")
        self.assertEqual(status, 200)

    async def test_a_planned_stop_of_a_replica_is_not_a_crash(self):
        """Guards against rejecting a request because releases cut it three times."""
        for number in range(4):
            leaving = self.plain[0]
            leaving.behaviors = [ReplicaBehavior.SILENT]
            self.store.remove("servers", self.plain[1].incarnation)
            await self.until(lambda: len(self.node._directory) == 3)
            self.assertEqual(await self.fetch_during_shutdown(leaving), 502)
            self.plain[0] = ReplicaStandIn(f"released-{number}")
            await self.plain[0].start()
            self.list_replicas()
            await self.until(lambda: len(self.node._directory) == 4)
        status, _, _ = await self.fetch_at(self.node, "POST", "/w/x", data=b"harmless")
        self.assertEqual(status, 200)

    async def fetch_during_shutdown(self, replica):
        response = asyncio.create_task(
            self.fetch_at(self.node, "POST", "/w/x", data=b"harmless")
        )
        await self.until(lambda: replica.executed_requests or response.done())
        await self.leave(replica)
        status, _, _ = await response
        return status

    async def leave(self, replica):
        """Let a replica announce that it is leaving, and exit."""
        name = replica.incarnation
        self.store.put("servers", name, replica.entry("plain", state="draining"))
        await self.until(lambda: self.node._directory.find(name).entry.is_leaving)
        replica.crash()
        self.crashed.append(replica)
        self.store.remove("servers", name)

    async def fetch_with_concurrent_request(self, node):
        """Send the crashing request while a harmless one is in flight."""
        (replica,) = self.plain
        replica.behaviors = [ReplicaBehavior.SILENT, ReplicaBehavior.NORMAL]
        harmless = asyncio.create_task(
            self.fetch_at(node, "POST", "/w/beside", data=b"harmless")
        )
        await self.until(lambda: replica.executed_requests or harmless.done())
        status, _, _ = await self.fetch_at(node, "POST", "/w/x", data=CRASHING_BODY)
        harmless.cancel()
        await asyncio.gather(harmless, return_exceptions=True)
        return status

    async def test_a_harmless_request_that_ran_concurrently_is_served(self):
        """The harmless request is in flight at each crash and is retried, too."""
        spare = self.plain.pop()
        self.addAsyncCleanup(spare.stop)
        self.store.remove("servers", spare.incarnation)
        await self.until(lambda: all(len(node._directory) == 3 for node in self.nodes))
        statuses = []
        for number in range(_MAX_TOTAL_CRASHES):
            statuses.append(
                await self.fetch_with_concurrent_request(
                    self.nodes[number % self.node_count]
                )
            )
            await self.replace_crashed(self.plain, "plain")
        self.assertIn(503, statuses)
        self.plain[0].behaviors = []
        for node in self.nodes:
            status, _, _ = await self.fetch_at(
                node, "POST", "/w/beside", data=b"harmless"
            )
            self.assertEqual(status, 200)
