import unittest

from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool, NotConnected
from tests.platform_standins import ReplicaStandIn

_CONNECT_MS = 5_000


class ConnectionPoolTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.replica = ReplicaStandIn("p-1")
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)
        self.pool = ConnectionPool(Clock())
        self.addCleanup(self.pool.close)
        self.idle = [await self.acquire(fresh=True) for _ in range(3)]
        for connection in self.idle:
            self.pool.release(connection)

    async def acquire(self, **options):
        address = self.replica.address
        return await self.pool.acquire(address, connect_ms=_CONNECT_MS, **options)

    async def test_an_excluded_connection_costs_no_new_one(self):
        """Guards against a new connection for each request that was rejected."""
        first, second, third = self.idle
        self.assertIs(await self.acquire(without=[second, third]), first)
        self.assertEqual(self.pool.opened, 3)

    async def test_excluded_connections_stay_for_other_requests(self):
        """Guards against the loss or a new order of connections that are left out."""
        first, second, third = self.idle
        await self.acquire(without=[second, third])
        self.assertIs(await self.acquire(), third)
        self.assertIs(await self.acquire(), second)

    async def test_a_new_connection_is_opened_if_all_are_excluded(self):
        connection = await self.acquire(without=self.idle)
        self.assertNotIn(connection, self.idle)
        self.assertEqual(self.pool.opened, 4)
        self.assertIs(await self.acquire(), self.idle[-1])

    async def test_an_address_that_raises_is_not_connected(self):
        """Guards against an exception for each request to an invalid address."""
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1:" + "1" * 5_000,
            "127.0.0.1:x",
            "127.0.0.1",
            "a\0b:80",
            "h" * 300 + ":80",
            "..:80",
            "",
        ):
            with self.subTest(address=address[:20]):
                found = await self.pool.acquire(address, connect_ms=_CONNECT_MS)
                self.assertIsInstance(found, NotConnected)
                self.assertFalse(found.is_refused)
