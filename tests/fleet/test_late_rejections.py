"""Rejections that arrive where the response to another send is expected."""

import asyncio

from tests.platform_standins import ReplicaBehavior

from .node_fixtures import KEY, STREAM, NodeTestCase

_REQUESTS = 6
_UNSAFE = {**KEY, "X-Deadline-Ms": "2000"}


class LateRejectionTests(NodeTestCase):
    """Routes of which no request may run twice, and one replica or two for them."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for route in self.operator.configuration["routes"]:
            if route["kind"] == "streaming":
                route["resumable"] = False

    def executions(self):
        """Return how often each request was executed, by its id."""
        counts = {}
        for replica in [*self.plain, *self.engines]:
            for request in replica.executed_requests:
                request_id = request.headers["x-request-id"]
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    async def send(self, method="POST", path="/w/x", headers=_UNSAFE):
        """Send one request; return its status and how often it was executed."""
        status, _, _ = await self.fetch(method, path, headers=headers)
        return status, self.executions().get(f"q{self.request_number}", 0)

    def assert_truthful(self, status, executed):
        self.assertLessEqual(executed, 1)
        if status in (408, 421, 429, 503):
            self.assertEqual(executed, 0)

    async def test_copies_of_a_rejection_by_the_only_replica(self):
        """Guards against a request that runs twice after its rejection came twice."""
        removed = self.plain.pop()
        await removed.stop()
        self.store.remove("servers", removed.incarnation)
        await self.start_with_replicas(3)
        (replica,) = self.plain
        replica.repeats_rejections = True
        for _ in range(_REQUESTS):
            replica.behaviors = [ReplicaBehavior.FULL]
            with self.subTest(request=self.request_number + 1):
                self.assert_truthful(*await self.send())
        self.assertGreater(replica.rejections_sent, 0)

    async def test_copies_of_rejections_by_all_replicas(self):
        """Guards against a request that runs though its caller was told otherwise."""
        await self.start_with_replicas(4)
        for number in range(2 * _REQUESTS):
            for replica in self.plain:
                replica.repeats_rejections = True
                replica.rejection_status = (503, 429)[number % 2]
                replica.behaviors = [ReplicaBehavior.FULL]
            with self.subTest(request=self.request_number + 1):
                self.assert_truthful(*await self.send())

    async def test_copies_of_rejections_of_a_request_that_may_be_repeated(self):
        """Guards against a 503 to a request that a replica is executing."""
        await self.start_with_replicas(4)
        for _ in range(_REQUESTS):
            for replica in self.plain:
                replica.repeats_rejections = True
                replica.behaviors = [ReplicaBehavior.FULL]
            with self.subTest(request=self.request_number + 1):
                status, executed = await self.send("GET", "/r/x", KEY)
                if status == 503:
                    self.assertEqual(executed, 0)

    async def test_copies_of_a_rejection_for_other_weights(self):
        """Guards against a stream that runs twice at a replica with other weights."""
        await self.start_with_replicas(4)
        for replica in self.engines:
            replica.repeats_rejections = True
        for version in range(2, 2 + _REQUESTS):
            for replica in self.engines:
                replica.version = version
            with self.subTest(version=version):
                self.assert_truthful(*await self.send("POST", "/s/x", STREAM))

    async def test_copies_of_rejections_of_other_requests_cost_no_answer(self):
        """Guards against a 502 to a request whose own response follows a copy."""
        await self.start_with_replicas(4)
        for replica in self.plain:
            replica.repeats_rejections = True
        for number in range(4 * _REQUESTS):
            self.plain[number % 2].behaviors = [ReplicaBehavior.FULL]
            with self.subTest(request=self.request_number + 1):
                self.assertEqual(await self.send(), (200, 1))
        self.assertGreater(sum(x.copies_sent for x in self.plain), 0)

    async def test_copies_of_rejections_among_many_requests_at_once(self):
        """Guards against a response that is taken for that of another request."""
        await self.start_with_replicas(4)
        for replica in self.plain:
            replica.repeats_rejections = True
        for _ in range(2 * _REQUESTS):
            for replica in self.plain:
                replica.behaviors = [ReplicaBehavior.FULL] * 3
            first = self.request_number + 1
            answers = await asyncio.gather(
                *(self.fetch("POST", "/w/x", headers=_UNSAFE) for _ in range(12))
            )
            executions = self.executions()
            for number, (status, headers, _) in enumerate(answers, first):
                self.assertEqual(headers["X-Request-Id"], f"q{number}")
                self.assertIn(status, (200, 503))
                self.assertEqual(executions.get(f"q{number}", 0), int(status == 200))

    async def test_a_rejection_without_a_request_id(self):
        """Guards against a rejection that is taken for the answer to any request."""
        await self.start_with_replicas(4)
        for _ in range(_REQUESTS):
            for replica in self.plain:
                replica.unnamed_rejections = 1
            with self.subTest(request=self.request_number + 1):
                status, executed = await self.send()
                self.assert_truthful(status, executed)
                self.assertEqual(status, 502)

    async def start_with_replicas(self, count):
        self.operator.configure()
        await self.start_node(self.node, "entry-1")
        await self.until(lambda: self.node.is_ready)
        await self.until(lambda: len(self.node._directory) == count)
