"""End-to-end tests with callers, one node, the store and replicas; over sockets."""

import asyncio

import aiohttp
import msgspec

from fireflyward.backing import Position
from fireflyward.fleet._peers import NodeRow
from tests.platform_standins import ReplicaBehavior

from .node_fixtures import KEY, STREAM, NodeTestCase, event_numbers


class RequestTests(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_ready()

    def set_behaviors(self, *behaviors):
        for replica in self.plain:
            replica.behaviors = list(behaviors)

    async def test_a_response_is_forwarded_unchanged(self):
        status, headers, body = await self.fetch("GET", "/r/x?y=1")
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"answer of p-"))
        self.assertEqual(headers["X-Server-Seal"], "3e1b.07.5a2")
        (sent,) = self.plain[0].executed_requests + self.plain[1].executed_requests
        self.assertEqual(sent.target, "/r/x?y=1")
        self.assertEqual(sent.headers["x-tenant"], "acme")
        self.assertNotIn("authorization", sent.headers)
        self.assertLessEqual(int(sent.headers["x-deadline-ms"]), 2_000)

    async def test_a_request_body_is_forwarded_unchanged(self):
        for data in (b"x" * 900, _chunks(b"ab", b"cd")):
            await self.fetch("POST", "/w/x", data=data)
        bodies = sorted(sent.body for r in self.plain for sent in r.executed_requests)
        self.assertEqual(bodies, [b"abcd", b"x" * 900])

    async def test_a_non_idempotent_request_is_not_retried_after_a_reset(self):
        """Guards against a record that is written twice.

        The replica runs the request, and its connection breaks before the response.
        Sending the request to the other replica would run it again.
        """
        self.set_behaviors(ReplicaBehavior.RESETS)
        status, headers, _ = await self.fetch("POST", "/w/x", data=b"1")
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)
        self.assertEqual(self.run_count(self.plain), 1)

    async def test_an_idempotent_request_is_retried_at_another_replica(self):
        for behavior in (
            ReplicaBehavior.RESETS,
            ReplicaBehavior.TRUNCATES,
            ReplicaBehavior.FAILS,
            ReplicaBehavior.UNSIGNED,
        ):
            self.plain[0].behaviors = [behavior] * 3
            self.plain[1].behaviors = []
            statuses = {(await self.fetch("GET", "/r/x"))[0] for _ in range(3)}
            self.assertEqual(statuses, {200}, behavior)

    async def test_the_log_shows_the_status_and_who_created_it(self):
        """Guards against a status 500 that callers report but no log line shows.

        Both replicas fail. The caller gets the second replica's own response, so the
        request counts as answered.
        """
        self.set_behaviors(ReplicaBehavior.FAILS)
        with self.assertLogs("fireflyward.callers") as logged:
            status, _, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 500)
        fields = logged.records[0].fields
        self.assertEqual((fields["status"], fields["made_by"]), (500, "replica"))
        (earlier,) = fields["earlier"]
        self.assertRegex(earlier, r"^p-\d \(v1\): WholeAnswer status 500$")

    async def test_the_log_shows_that_a_node_rejected_a_request(self):
        with self.assertLogs("fireflyward.callers") as logged:
            status, _, _ = await self.fetch("GET", "/nowhere/x")
        fields = logged.records[0].fields
        self.assertEqual((fields["status"], fields["made_by"]), (status, "node"))

    async def test_a_response_to_another_request_is_not_forwarded(self):
        """Guards against forwarding the response to another caller's request.

        A replica's late response arrives where the next response is expected.
        """
        self.set_behaviors(ReplicaBehavior.WRONG_REQUEST_ID)
        status, _, body = await self.fetch("POST", "/w/x", data=b"1")
        self.assertEqual(status, 502)
        self.assertNotIn(b"another", body)

    async def test_an_additional_response_is_not_forwarded(self):
        self.set_behaviors(*[ReplicaBehavior.SENDS_EXTRA_RESPONSE] * 3)
        for _ in range(6):
            _, _, body = await self.fetch("GET", "/r/x")
            await asyncio.sleep(0.03)
            self.assertNotIn(b"nobody", body)

    async def test_responses_without_a_length(self):
        self.set_behaviors(ReplicaBehavior.UNFRAMED)
        self.assertEqual((await self.fetch("POST", "/w/x", data=b"1"))[0], 200)
        self.set_behaviors(ReplicaBehavior.UNFRAMED_RESET)
        self.assertEqual((await self.fetch("POST", "/w/x", data=b"1"))[0], 502)

    async def test_a_full_replica_is_skipped_also_for_non_idempotent_requests(self):
        self.plain[0].behaviors = [ReplicaBehavior.FULL]
        statuses = [(await self.fetch("POST", "/w/x", data=b"1"))[0] for _ in range(4)]
        self.assertEqual(statuses, [200] * 4)

    async def test_with_all_replicas_full_a_caller_gets_retry_after(self):
        self.set_behaviors(*[ReplicaBehavior.FULL] * 5)
        status, headers, _ = await self.fetch("POST", "/w/x", data=b"1")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.run_count(self.plain), 0)

    async def test_a_503_without_a_not_executed_header_is_not_forwarded(self):
        """Guards against a caller that repeats a request that has run.

        The replica responds with 503, but without the header that it has not run the
        request. For a caller, a forwarded 503 would mean that the request has not run.
        """
        for method, path in (("POST", "/w/x"), ("GET", "/r/x")):
            self.set_behaviors(
                ReplicaBehavior.EXECUTES_THEN_503, ReplicaBehavior.EXECUTES_THEN_503
            )
            status, headers, _ = await self.fetch(method, path)
            self.assertEqual(status, 502, path)
            self.assertNotIn("X-Server-Seal", headers)

    async def test_invalid_requests_are_rejected(self):
        self.assertEqual((await self.fetch("GET", "/nowhere/x"))[0], 404)
        wrong = {"Authorization": "Bearer no"}
        self.assertEqual((await self.fetch("GET", "/r/x", headers=wrong))[0], 401)
        self.assertEqual((await self.fetch("GET", "/r/x", headers={}))[0], 401)
        large = await self.fetch("POST", "/w/x", data=b"x" * 1_001)
        self.assertEqual(large[0], 413)
        chunked = await self.fetch("POST", "/w/x", data=_chunks(*[b"x" * 600] * 2))
        self.assertEqual(chunked[0], 413)
        long = {**KEY, "X-Note": "n" * 16_400}
        self.assertEqual((await self.fetch("GET", "/r/x", headers=long))[0], 431)
        bad = {**KEY, "X-Deadline-Ms": "soon"}
        self.assertEqual((await self.fetch("GET", "/r/x", headers=bad))[0], 400)
        self.assertEqual(self.run_count(self.plain), 0)

    async def test_a_request_to_a_silent_replica_times_out(self):
        self.operator.configuration["routes"][2]["timeout-ms"] = 150
        self.operator.configure()
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        self.set_behaviors(ReplicaBehavior.SILENT)
        status, _, _ = await self.fetch("POST", "/w/x", data=b"1")
        self.assertEqual(status, 504)

    async def test_a_withdrawn_key_is_rejected(self):
        tenants = [{"name": "acme", "api-keys": ["key-2"]}]
        self.operator.configure(tenants=tenants)
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        self.assertEqual((await self.fetch("GET", "/r/x"))[0], 401)

    async def test_a_leaving_replica_gets_no_new_requests(self):
        entry = self.plain[0].entry("plain", state="draining")
        self.store.put("servers", "p-1", entry)
        plain = self.node._directory.of_service
        await self.until(lambda: len(plain("plain")) == 1)
        for _ in range(5):
            await self.fetch("GET", "/r/x")
        self.assertEqual(len(self.plain[0].executed_requests), 0)

    async def test_an_address_reused_by_another_replica(self):
        """Guards against a request that runs at a service that is not in its route.

        A replica has exited and another one uses its address, but the list of replicas
        doesn't show the change yet. The other replica doesn't run requests that are
        meant for the first one.
        """
        self.plain[0].incarnation = "other"
        statuses = {(await self.fetch("POST", "/w/x", data=b"1"))[0] for _ in range(4)}
        self.assertEqual(statuses, {200})
        self.assertEqual(len(self.plain[0].executed_requests), 0)

    async def test_metrics_are_served(self):
        await self.fetch("GET", "/r/x")
        text = (await self.node._status_server._serve_metrics(_Path("/metrics"))).text
        self.assertIn('requests_total{outcome="answered"', text)
        self.assertIn("request_ms", text)
        self.assertIn('service_connections_opened_total{service="', text)
        self.assertIn('subset_replicas{service="', text)


class StreamTests(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_ready()

    async def test_events_are_forwarded_in_order(self):
        status, headers, body = await self.fetch("POST", "/s/x", headers=STREAM)
        self.assertEqual(status, 200)
        self.assertEqual(event_numbers(body), [1, 2, 3, 4])
        self.assertEqual(headers["Content-Type"], "text/event-stream")

    async def test_a_cut_stream_resumes_at_the_other_replica_without_a_gap(self):
        """Guards against a part of a response that is missing or sent twice.

        A replica stops in the middle of an event, and another one resumes the stream.
        """
        await self.fetch("POST", "/s/x", headers=STREAM)
        preferred, other = sorted(
            self.engines, key=lambda engine: -len(engine.executed_requests)
        )
        preferred.behaviors = [ReplicaBehavior.TRUNCATES_STREAM]
        _, _, body = await self.fetch("POST", "/s/x", headers=STREAM)
        self.assertEqual(event_numbers(body), [1, 2, 3, 4])
        (resumed,) = other.executed_requests
        self.assertEqual(resumed.headers["last-event-id"], "1")

    async def test_a_cut_stream_that_is_not_resumable_is_incomplete(self):
        self.operator.configuration["routes"][0]["resumable"] = False
        self.operator.configure()
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        for engine in self.engines:
            engine.behaviors = [ReplicaBehavior.TRUNCATES_STREAM]
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.fetch("POST", "/s/x", headers=STREAM)
        self.assertEqual(self.run_count(self.engines), 1)

    async def test_the_replica_stops_when_a_caller_disconnects(self):
        """Guards against replicas that work for callers that have disconnected."""
        for engine in self.engines:
            engine._pause_s, engine._events = 0.02, 10_000
        async with self.request("POST", "/s/x", headers=STREAM) as response:
            await response.content.readany()
            response.close()
        await self.until(lambda: sum(e.disconnected_callers for e in self.engines) == 1)

    async def test_the_replica_stops_when_a_caller_disconnects_early(self):
        self.operator.configuration["routes"][2]["timeout-ms"] = 600_000
        self.operator.configure()
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.SILENT]
        request = asyncio.create_task(self.fetch("POST", "/w/x", data=b"1"))
        await self.until(lambda: self.run_count(self.plain) == 1)
        request.cancel()
        await self.until(lambda: sum(r.disconnected_callers for r in self.plain) == 1)

    async def test_requests_have_headers_for_weights_and_salt(self):
        await self.fetch("POST", "/s/x", headers=STREAM)
        (sent,) = self.engines[0].executed_requests + self.engines[1].executed_requests
        self.assertEqual(sent.headers["x-expect-version"], "1")
        self.assertEqual(sent.headers["x-cache-salt"], "m~1")

    async def test_with_many_nodes_each_lets_few_late_requests_wait(self):
        """Guards against late requests that fill all replicas' queues in a burst.

        Each node let as many requests wait as if it were the only node.
        """
        for name in ("entry-2", "entry-3", "entry-4"):
            row = NodeRow("127.0.0.1", 1, "a", 100)
            self.store.put(
                "fireflyward-nodes", f"node/{name}", msgspec.json.encode(row)
            )
        await self.until(lambda: len(self.node._node_registry.names()) == 4)
        late_limit = self.node._forwarder._deps.late_limit
        await self.until(lambda: late_limit._nodes == 4)
        self.assertEqual(
            [late_limit.try_acquire("s", 16) for _ in range(3)], [True, True, False]
        )

    async def test_the_weight_task_sets_the_poll_interval_of_its_lease(self):
        poll_interval_ms = self.node._lease._poll_interval_ms
        self.node._weight_task.lease_poll_ms = lambda: 123.0
        self.assertEqual(poll_interval_ms(), 123.0)

    async def test_a_restarted_replica_is_a_new_incarnation(self):
        """Guards against a restarted replica that gets no requests for seconds.

        The replica had crashed, and after its restart only the start time in its entry
        had changed.
        """
        engine = self.engines[0]
        state = self.node._directory.find(engine.incarnation)
        state.on_send_failure(self.node._clock.now_ms())
        engine.restart()
        self.list_replicas()
        find = self.node._directory.find
        await self.until(lambda: find(engine.incarnation) is not state)
        self.assertFalse(find(engine.incarnation).is_suspect(0))

    async def test_malformed_entries_do_no_harm(self):
        """Guards against nodes that exit or lose requests after a stray write."""
        directory = self.node._directory
        overwritten = self.engines[0].incarnation
        for key, value in (
            (overwritten, b"{}"),
            ("x1", b"\xff"),
            ("x2", b'{"state": "up"}'),
        ):
            self.store.put("servers", key, value)
        await self.until(lambda: directory.find(overwritten) is None)
        self.assertEqual(len(directory), 3)
        status, _, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 200)

    async def test_new_weights_reach_every_replica(self):
        """The lease holder orders the loads; then requests require the new version."""
        self.operator.set_weights_version("m", 2)
        await self.until(lambda: {e.version for e in self.engines} == {2})
        self.assertEqual({len(e.orders) for e in self.engines}, {1})
        orders = [e.orders[0] for e in self.engines]
        first = Position(self.store.era, 1).ordinal
        self.assertEqual({order["fence"] for order in orders}, {first})
        self.assertEqual({order["holder"] for order in orders}, {"entry-1"})
        status, _, _ = await self.fetch("POST", "/s/x", headers=STREAM)
        self.assertEqual(status, 200)
        sent = (self.engines[0].executed_requests + self.engines[1].executed_requests)[
            -1
        ]
        self.assertEqual(sent.headers["x-cache-salt"], "m~2")


class _Path:
    def __init__(self, path):
        self.path = path


async def _chunks(*parts):
    for part in parts:
        yield part
