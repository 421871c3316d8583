"""What holds for a request while its connection leads through another node."""

import asyncio

import aiohttp

from tests.platform_standins import ReplicaBehavior

from .node_fixtures import KEY, STREAM, event_numbers
from .partition import Cut
from .test_partitioned_nodes import PartitionTestCase

_UNSAFE = {**KEY, "X-Deadline-Ms": "2000"}
_PROMPT_S = 0.5
_REJECTED_REQUESTS = 6


class RelayedRequestTests(PartitionTestCase):
    """One of two nodes reaches no replica, so all its requests are relayed."""

    node_count = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_nodes()
        self.partition.begin(("entry-1",), self.replicas, Cut.REFUSED)
        for request in (("GET", "/r/x", KEY), ("POST", "/s/x", STREAM)):
            await self.fetch(request[0], request[1], headers=request[2])
        self.relay = self.nodes[1]

    @property
    def pipes(self):
        return self.relay._replica_components.relays.server._pipes

    def break_tunnels(self):
        for pipe in tuple(self.pipes):
            pipe._node.abort()

    async def test_copies_of_rejections_through_another_node(self):
        """Guards against a relayed request that runs though it was answered 503."""
        for replica in self.plain:
            replica.repeats_rejections = True
        for _ in range(_REJECTED_REQUESTS):
            for replica in self.plain:
                replica.behaviors = [ReplicaBehavior.FULL]
                replica.executed_requests.clear()
            status, _, _ = await self.fetch("POST", "/w/x", headers=_UNSAFE)
            executed = self.run_count(self.plain)
            self.assertLessEqual(executed, 1)
            if status == 503:
                self.assertEqual(executed, 0)
        self.assertGreater(sum(replica.rejections_sent for replica in self.plain), 0)

    async def test_the_replica_gets_the_same_request(self):
        status, headers, body = await self.fetch(
            "POST", "/w/x?y=1", headers=_UNSAFE, data=b"body"
        )
        self.assertEqual(status, 200)
        (request,) = [
            item
            for replica in self.plain
            for item in replica.executed_requests
            if item.method == "POST"
        ]
        self.assertEqual((request.target, request.body), ("/w/x?y=1", b"body"))
        self.assertEqual(request.headers["x-tenant"], "acme")
        self.assertNotIn("authorization", request.headers)
        self.assertLessEqual(int(request.headers["x-deadline-ms"]), 2_000)
        self.assertIn("X-Server-Seal", headers)

    async def test_an_unsafe_request_whose_tunnel_breaks_runs_once(self):
        """Guards against 'not run' for a request that a replica had begun to run."""
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.SILENT] * 3
        before = self.run_count(self.plain)
        request = asyncio.create_task(self.fetch("POST", "/w/x", headers=_UNSAFE))
        await self.until(lambda: self.run_count(self.plain) > before)
        self.break_tunnels()
        status, _, _ = await request
        self.assertEqual(status, 502)
        self.assertEqual(self.run_count(self.plain), before + 1)

    async def test_a_repeatable_request_whose_tunnel_breaks_is_sent_again(self):
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.SILENT]
        before = self.run_count(self.plain)
        request = asyncio.create_task(self.fetch("GET", "/r/x"))
        await self.until(lambda: self.run_count(self.plain) > before)
        for replica in self.plain:
            replica.behaviors = []
        self.break_tunnels()
        status, _, _ = await request
        self.assertEqual(status, 200)

    async def test_a_stream_whose_tunnel_breaks_is_resumed(self):
        """Guards against a stream with a missing or doubled event."""
        for engine in self.engines:
            engine._pause_s = 0.2
        before = self.run_count(self.engines)
        request = asyncio.create_task(self.fetch("POST", "/s/x", headers=STREAM))
        await self.until(lambda: self.run_count(self.engines) > before)
        await asyncio.sleep(0.5)
        self.break_tunnels()
        status, _, body = await request
        self.assertEqual(status, 200)
        self.assertEqual(event_numbers(body), [1, 2, 3, 4])

    async def test_a_caller_that_leaves_ends_the_work_at_the_replica(self):
        """Guards against replicas that work on behind a relay for nobody."""
        for engine in self.engines:
            engine._pause_s = 0.3
        before = self.run_count(self.engines)
        async with aiohttp.ClientSession() as session:
            headers = {"Host": "h.example", "X-Request-Id": "left", **STREAM}
            url = f"http://{self.node.callers_address}/s/x"
            request = asyncio.create_task(session.post(url, headers=headers))
            await self.until(lambda: self.run_count(self.engines) > before)
            response = await request
            response.close()
        async with asyncio.timeout(_PROMPT_S + 0.3):
            while not any(item.disconnected_callers for item in self.engines):
                await asyncio.sleep(0.01)

    async def test_a_withdrawn_key_is_rejected(self):
        accounts = self.operator.configuration["tenants"]
        accounts[0]["api-keys"].remove("key-1")
        self.operator.configure()
        await self.until(
            lambda: self.node._routes.version == self.operator.configuration["version"]
        )
        status, _, _ = await self.fetch("POST", "/w/x", headers=_UNSAFE)
        self.assertEqual(status, 401)

    async def test_a_relay_that_stops_cuts_no_request(self):
        """Guards against requests that are cut by a planned stop of their relay."""
        for replica in self.plain:
            replica.answer = _delayed(replica.answer, 0.8)
        before = len(self.plain[0].requests) + len(self.plain[1].requests)
        request = asyncio.create_task(self.fetch("POST", "/w/x", headers=_UNSAFE))
        await self.until(
            lambda: sum(len(item.requests) for item in self.plain) > before
        )
        await self.nodes.pop().stop()
        status, _, _ = await request
        self.assertEqual(status, 200)

    async def test_the_relay_counts_no_request(self):
        """Guards against budgets and fair shares that count a request at two nodes."""
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.FAILS]
        await self.fetch("GET", "/r/x")
        self.assertNotIn("requests_total", self.relay._metrics.text())
        self.assertEqual(self.relay._directory.of_service("plain")[0].in_flight, 0)
        self.assertFalse(self.relay._budget._send_times_by_service)

    async def test_a_request_names_its_relay_in_the_log(self):
        with self.assertLogs("fireflyward.callers", "INFO") as logs:
            await self.fetch("POST", "/w/x", headers=_UNSAFE)
        fields = [record.fields for record in logs.records if "relay" in record.fields]
        self.assertEqual([item["relay"] for item in fields], ["entry-2"])


def _delayed(answer, delay_s):
    async def delayed(request, writer):
        await asyncio.sleep(delay_s)
        return await answer(request, writer)

    return delayed
