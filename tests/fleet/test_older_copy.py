"""The platform's store comes back from an older copy, over sockets."""

import json

from .node_fixtures import NodeTestCase

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

    async def test_a_configuration_of_the_new_era_comes_into_force(self):
        """Guards against a copy that counts as lagging until its versions catch up."""
        self.store.come_back_from(self.copied)
        self.operator.configure(tenants=[{"name": "acme", "api-keys": ["key-2"]}])
        await self.until_in_force()
        status, _, _ = await self.ask("GET", "/r/x")
        self.assertEqual(status, 401)

    async def test_a_replica_that_leaves_in_the_new_era_gets_nothing(self):
        """Guards against a list of replicas that stands still after a drill."""
        self.store.come_back_from(self.copied)
        replica = self.plain[0]
        entry = json.loads(replica.entry("plain"))
        leaving = json.dumps({**entry, "state": "draining"}).encode()
        self.store.put("servers", replica.incarnation, leaving)
        await self.until(lambda: self.state(replica.incarnation).is_leaving)
        for _ in range(10):
            await self.ask("GET", "/r/x")
        self.assertEqual(replica.ran, [])
