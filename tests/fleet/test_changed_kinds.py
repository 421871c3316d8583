"""Routes whose kind changes while a request is at a replica."""

import asyncio

from tests.platform_standins import ReplicaBehavior

from .node_fixtures import KEY, NodeTestCase

_PATIENT = {**KEY, "X-Deadline-Ms": "2000"}


class ChangedKindTests(NodeTestCase):
    async def break_after_change(self, path, kind):
        """Break a request's first run after the kind of its route has changed."""
        await self.start_ready()
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.SILENT]
        request = asyncio.create_task(self.fetch("POST", path, headers=_PATIENT))
        await self.until(lambda: self.run_count(self.plain) == 1)
        (route,) = (
            route
            for route in self.operator.configuration["routes"]
            if path.startswith(route["path-prefix"])
        )
        route.update({"kind": kind, "max-attempts": 2})
        self.operator.configure()
        newest = self.operator.configuration["version"]
        await self.until(lambda: self.node._routes.version == newest)
        for replica in self.plain:
            replica.behaviors = []
            for writer in list(replica._writers):
                writer.transport.abort()
        return (await request)[0]

    async def test_a_request_that_arrived_as_unsafe_is_not_repeated(self):
        """Guards against a request that runs twice as its route became idempotent."""
        self.assertEqual(await self.break_after_change("/w/x", "safe"), 502)
        self.assertEqual(self.run_count(self.plain), 1)

    async def test_the_next_request_follows_the_new_kind(self):
        """Guards against a kind that is kept beyond the requests that had it."""
        await self.break_after_change("/w/x", "safe")
        for replica in self.plain:
            replica.behaviors = [ReplicaBehavior.RESETS]
        status, _, _ = await self.fetch("POST", "/w/x", headers=_PATIENT)
        runs = self.run_count(self.plain)
        self.assertGreater(runs, 2)
        self.assertIn(status, (200, 502))
