"""The whole path: callers, one node, the store and replicas, over sockets."""

import asyncio

import aiohttp
import msgspec

from fireflyward.backing import Position
from fireflyward.fleet._peers import NodeRow
from tests.platform_standins import ReplicaBehavior

from .node_fixtures import KEY, STREAM, NodeTestCase, event_numbers


class PlainTests(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_ready()

    def all_do(self, *behaviors):
        for replica in self.plain:
            replica.behaviors = list(behaviors)

    async def test_answer_comes_back_as_the_replica_made_it(self):
        status, headers, body = await self.ask("GET", "/r/x?y=1")
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"answer of p-"))
        self.assertEqual(headers["X-Server-Seal"], "3e1b.07.5a2")
        (sent,) = self.plain[0].executed_requests + self.plain[1].executed_requests
        self.assertEqual(sent.target, "/r/x?y=1")
        self.assertEqual(sent.headers["x-tenant"], "acme")
        self.assertNotIn("authorization", sent.headers)
        self.assertLessEqual(int(sent.headers["x-deadline-ms"]), 2_000)

    async def test_body_goes_on_unchanged(self):
        for data in (b"x" * 900, _chunks(b"ab", b"cd")):
            await self.ask("POST", "/w/x", data=data)
        bodies = sorted(sent.body for r in self.plain for sent in r.executed_requests)
        self.assertEqual(bodies, [b"abcd", b"x" * 900])

    async def test_non_idempotent_request_runs_once_over_a_reset(self):
        """Symptom: a record is written twice.

        The replica runs the request and its connection breaks before the answer;
        sending it to the other replica would run it again.
        """
        self.all_do(ReplicaBehavior.RESETS)
        status, headers, _ = await self.ask("POST", "/w/x", data=b"1")
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)
        self.assertEqual(self.runs(self.plain), 1)

    async def test_idempotent_request_goes_to_another_replica(self):
        for behavior in (
            ReplicaBehavior.RESETS,
            ReplicaBehavior.TRUNCATES,
            ReplicaBehavior.FAILS,
            ReplicaBehavior.UNSIGNED,
        ):
            self.plain[0].behaviors = [behavior] * 3
            self.plain[1].behaviors = []
            statuses = {(await self.ask("GET", "/r/x"))[0] for _ in range(3)}
            self.assertEqual(statuses, {200}, behavior)

    async def test_the_log_tells_what_a_caller_got_and_from_whom(self):
        """Symptom: callers complain of status 500, and no line of the log has one.

        Both replicas fail. What the caller gets is the second one's own answer, so
        the request counts as answered.
        """
        self.all_do(ReplicaBehavior.FAILS)
        with self.assertLogs("fireflyward.callers") as logged:
            status, _, _ = await self.ask("GET", "/r/x")
        self.assertEqual(status, 500)
        fields = logged.records[0].fields
        self.assertEqual((fields["status"], fields["made_by"]), (500, "replica"))
        (earlier,) = fields["earlier"]
        self.assertRegex(earlier, r"^p-\d: WholeAnswer status 500$")

    async def test_the_log_tells_that_a_node_refused(self):
        with self.assertLogs("fireflyward.callers") as logged:
            status, _, _ = await self.ask("GET", "/nowhere/x")
        fields = logged.records[0].fields
        self.assertEqual((fields["status"], fields["made_by"]), (status, "node"))

    async def test_answer_of_another_request_reaches_nobody(self):
        """Symptom: a caller gets somebody else's answer.

        A replica's late answer comes where the next one is expected.
        """
        self.all_do(ReplicaBehavior.WRONG_REQUEST_ID)
        status, _, body = await self.ask("POST", "/w/x", data=b"1")
        self.assertEqual(status, 502)
        self.assertNotIn(b"another", body)

    async def test_added_answer_reaches_nobody(self):
        self.all_do(*[ReplicaBehavior.SENDS_EXTRA_RESPONSE] * 3)
        for _ in range(6):
            _, _, body = await self.ask("GET", "/r/x")
            await asyncio.sleep(0.03)
            self.assertNotIn(b"nobody", body)

    async def test_unframed_answers(self):
        self.all_do(ReplicaBehavior.UNFRAMED)
        self.assertEqual((await self.ask("POST", "/w/x", data=b"1"))[0], 200)
        self.all_do(ReplicaBehavior.UNFRAMED_RESET)
        self.assertEqual((await self.ask("POST", "/w/x", data=b"1"))[0], 502)

    async def test_full_replica_is_passed_over_also_for_what_runs_once(self):
        self.plain[0].behaviors = [ReplicaBehavior.FULL]
        statuses = [(await self.ask("POST", "/w/x", data=b"1"))[0] for _ in range(4)]
        self.assertEqual(statuses, [200] * 4)

    async def test_when_all_are_full_the_caller_is_told_to_come_back(self):
        self.all_do(*[ReplicaBehavior.FULL] * 5)
        status, headers, _ = await self.ask("POST", "/w/x", data=b"1")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.runs(self.plain), 0)

    async def test_503_of_a_replica_that_ran_it_is_no_promise(self):
        """Symptom: a caller repeats a request that has run.

        The replica answers 503 without saying that it has not run the request;
        passed on, the status would promise just that.
        """
        for method, path in (("POST", "/w/x"), ("GET", "/r/x")):
            self.all_do(
                ReplicaBehavior.EXECUTES_THEN_503, ReplicaBehavior.EXECUTES_THEN_503
            )
            status, headers, _ = await self.ask(method, path)
            self.assertEqual(status, 502, path)
            self.assertNotIn("X-Server-Seal", headers)

    async def test_refusals(self):
        self.assertEqual((await self.ask("GET", "/nowhere/x"))[0], 404)
        wrong = {"Authorization": "Bearer no"}
        self.assertEqual((await self.ask("GET", "/r/x", headers=wrong))[0], 401)
        self.assertEqual((await self.ask("GET", "/r/x", headers={}))[0], 401)
        large = await self.ask("POST", "/w/x", data=b"x" * 1_001)
        self.assertEqual(large[0], 413)
        chunked = await self.ask("POST", "/w/x", data=_chunks(*[b"x" * 600] * 2))
        self.assertEqual(chunked[0], 413)
        long = {**KEY, "X-Note": "n" * 16_400}
        self.assertEqual((await self.ask("GET", "/r/x", headers=long))[0], 431)
        bad = {**KEY, "X-Deadline-Ms": "soon"}
        self.assertEqual((await self.ask("GET", "/r/x", headers=bad))[0], 400)
        self.assertEqual(self.runs(self.plain), 0)

    async def test_route_timeout_is_answered_though_the_replica_is_silent(self):
        self.operator.configuration["routes"][2]["timeout-ms"] = 150
        self.operator.configure()
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        self.all_do(ReplicaBehavior.SILENT)
        status, _, _ = await self.ask("POST", "/w/x", data=b"1")
        self.assertEqual(status, 504)

    async def test_a_withdrawn_key_is_refused(self):
        tenants = [{"name": "acme", "api-keys": ["key-2"]}]
        self.operator.configure(tenants=tenants)
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        self.assertEqual((await self.ask("GET", "/r/x"))[0], 401)

    async def test_a_leaving_replica_gets_nothing_new(self):
        entry = self.plain[0].entry("plain", state="draining")
        self.store.put("servers", "p-1", entry)
        plain = self.node._directory.of_service
        await self.until(lambda: len(plain("plain")) == 1)
        for _ in range(5):
            await self.ask("GET", "/r/x")
        self.assertEqual(len(self.plain[0].executed_requests), 0)

    async def test_an_address_that_another_incarnation_has_now(self):
        """Symptom: a request runs at a service that its route never named.

        A replica is gone and its address is used again; the list does not say so
        yet. The replica that is there does not run what it was not meant for.
        """
        self.plain[0].incarnation = "other"
        statuses = {(await self.ask("POST", "/w/x", data=b"1"))[0] for _ in range(4)}
        self.assertEqual(statuses, {200})
        self.assertEqual(len(self.plain[0].executed_requests), 0)

    async def test_metrics_are_served(self):
        await self.ask("GET", "/r/x")
        text = (await self.node._own_pages._answer_metrics(_Path("/metrics"))).text
        self.assertIn('requests_total{outcome="answered"', text)
        self.assertIn("request_ms", text)


class StreamTests(NodeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_ready()

    async def test_events_come_in_order(self):
        status, headers, body = await self.ask("POST", "/s/x", headers=STREAM)
        self.assertEqual(status, 200)
        self.assertEqual(event_numbers(body), [1, 2, 3, 4])
        self.assertEqual(headers["Content-Type"], "text/event-stream")

    async def test_a_cut_stream_goes_on_at_the_other_replica_without_a_seam(self):
        """Symptom: a piece of an answer is missing or comes twice.

        A replica stops in the middle of an event; another goes on.
        """
        await self.ask("POST", "/s/x", headers=STREAM)
        home, other = sorted(
            self.engines, key=lambda engine: -len(engine.executed_requests)
        )
        home.behaviors = [ReplicaBehavior.TRUNCATES_STREAM]
        _, _, body = await self.ask("POST", "/s/x", headers=STREAM)
        self.assertEqual(event_numbers(body), [1, 2, 3, 4])
        (resumed,) = other.executed_requests
        self.assertEqual(resumed.headers["last-event-id"], "1")

    async def test_a_stream_that_may_not_be_resumed_does_not_look_whole(self):
        self.operator.configuration["routes"][0]["resumable"] = False
        self.operator.configure()
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        for engine in self.engines:
            engine.behaviors = [ReplicaBehavior.TRUNCATES_STREAM]
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.ask("POST", "/s/x", headers=STREAM)
        self.assertEqual(self.runs(self.engines), 1)

    async def test_a_caller_that_leaves_stops_the_work(self):
        """Symptom: replicas work on answers that nobody waits for."""
        for engine in self.engines:
            engine._pause_s, engine._events = 0.02, 10_000
        async with self.request("POST", "/s/x", headers=STREAM) as response:
            await response.content.readany()
            response.close()
        await self.until(lambda: sum(e.disconnected_callers for e in self.engines) == 1)

    async def test_a_caller_that_leaves_before_any_answer_stops_the_work(self):
        self.operator.configuration["routes"][2]["timeout-ms"] = 600_000
        self.operator.configure()
        version = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == version)
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.SILENT]
        asking = asyncio.create_task(self.ask("POST", "/w/x", data=b"1"))
        await self.until(lambda: self.runs(self.plain) == 1)
        asking.cancel()
        await self.until(lambda: sum(r.disconnected_callers for r in self.plain) == 1)

    async def test_weights_and_salt_are_named(self):
        await self.ask("POST", "/s/x", headers=STREAM)
        (sent,) = self.engines[0].executed_requests + self.engines[1].executed_requests
        self.assertEqual(sent.headers["x-expect-version"], "1")
        self.assertEqual(sent.headers["x-cache-salt"], "m~1")

    async def test_few_late_requests_wait_where_there_are_many_nodes(self):
        """Symptom: in a burst late requests fill the queues of all replicas.

        Each node let as many wait as if it were alone.
        """
        for name in ("entry-2", "entry-3", "entry-4"):
            row = NodeRow("127.0.0.1", 1, "a", 100)
            self.store.put(
                "fireflyward-nodes", f"node/{name}", msgspec.json.encode(row)
            )
        await self.until(lambda: len(self.node._peers.names()) == 4)
        lane = self.node._forwarder._deps.late_limit
        await self.until(lambda: lane._nodes == 4)
        self.assertEqual(
            [lane.try_acquire("s", 16) for _ in range(3)], [True, True, False]
        )

    async def test_the_lease_is_looked_at_as_its_duty_asks(self):
        look_ms = self.node._lease._poll_interval_ms
        self.node._weight_task.lease_poll_ms = lambda: 123.0
        self.assertEqual(look_ms(), 123.0)

    async def test_a_replica_that_starts_again_under_its_name_is_another_one(self):
        """Symptom: a replica that crashed and came back gets nothing for seconds.

        Its entry changed in nothing but the time of its start.
        """
        engine = self.engines[0]
        state = self.node._directory.find(engine.incarnation)
        state.on_send_failure(self.node._clock.now_ms())
        engine.restart()
        self.list_replicas()
        find = self.node._directory.find
        await self.until(lambda: find(engine.incarnation) is not state)
        self.assertFalse(find(engine.incarnation).is_suspect(0))

    async def test_foreign_entries_name_no_replica_and_harm_no_other(self):
        """Symptom: all nodes end, or requests go nowhere, after a stray write."""
        directory = self.node._directory
        gone = self.engines[0].incarnation
        for key, value in ((gone, b"{}"), ("x1", b"\xff"), ("x2", b'{"state": "up"}')):
            self.store.put("servers", key, value)
        await self.until(lambda: directory.find(gone) is None)
        self.assertEqual(len(directory), 3)
        status, _, _ = await self.ask("GET", "/r/x")
        self.assertEqual(status, 200)

    async def test_new_weights_reach_every_replica(self):
        """The leased task orders loads; requests then ask for the new version."""
        self.operator.set_weights_version("m", 2)
        await self.until(lambda: {e.version for e in self.engines} == {2})
        self.assertEqual({len(e.orders) for e in self.engines}, {1})
        orders = [e.orders[0] for e in self.engines]
        first = Position(self.store.era, 1).ordinal
        self.assertEqual({order["fence"] for order in orders}, {first})
        self.assertEqual({order["holder"] for order in orders}, {"entry-1"})
        status, _, _ = await self.ask("POST", "/s/x", headers=STREAM)
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
