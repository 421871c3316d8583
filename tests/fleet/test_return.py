"""Service after all nodes were killed and started again, as processes."""

import asyncio
import json
import tempfile
import time
import unittest

import aiohttp

from tests.platform_standins import Operator, ReplicaStandIn, StoreStandIn
from tests.soak._nodes import NodeProcess

_ENGINES = 3
_NODES = 3
_SLOTS = 64
_EVENTS = 4
_PAUSE_S = 0.3
_PERIOD_S = 0.02
_CRASH_PERIOD_S = 0.3
_START_TIMEOUT_S = 20.0
# What the users allow for the return of service.
_RECOVERY_S = 12.0
_MEASURED_S = 3.0
# Long enough for a node to hold the lease and renew it.
_RUNNING_S = 2.0
_KEY = {"Authorization": "Bearer key-1", "Host": "h.example"}


class ReturnTestCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes as processes, and engines in the process of the test."""

    async def asyncSetUp(self):
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.operator = Operator(self.store)
        for service in self.operator.configuration["services"]:
            if "engine" in service:
                service["engine"]["slots"] = _SLOTS
        self.operator.configure()
        self.engines = []
        for number in range(_ENGINES):
            engine = ReplicaStandIn(
                f"e-{number}", model="m", events=_EVENTS, pause_s=_PAUSE_S
            )
            await engine.start()
            self.addAsyncCleanup(engine.stop)
            self.engines.append(engine)
        self.list_engines()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.nodes = [
            NodeProcess(f"entry-{number}", folder, self.store.address, zone)
            for number, zone in zip(range(_NODES), "abc", strict=True)
        ]
        self.session = await self.enterAsyncContext(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=aiohttp.ClientTimeout(total=5),
            )
        )
        self.statuses = []

    async def asyncTearDown(self):
        for node in self.nodes:
            await node.kill()

    def list_engines(self):
        for engine in self.engines:
            entry = {**json.loads(engine.entry("engines")), "slots": _SLOTS}
            self.store.put("servers", engine.incarnation, json.dumps(entry).encode())

    async def start(self):
        await asyncio.gather(*(node.start() for node in self.nodes))
        async with asyncio.timeout(_START_TIMEOUT_S):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.02)

    async def kill_nodes(self):
        await asyncio.gather(*(node.kill() for node in self.nodes))

    def crash_engines(self):
        """Let all engines crash at this moment, and start again under their ids."""
        for engine in self.engines:
            for writer in list(engine._writers):
                writer.transport.abort()
            engine.restart()
        self.list_engines()

    async def send(self, number):
        """Read a stream that shares its first two parts with all others."""
        headers = {
            **_KEY,
            "X-Request-Id": f"r-{number}",
            "X-Model": "m",
            "X-Token-Usage": "900,4",
            "X-Prompt-Prefix": f"aa:500,bb:200,own{number}:100",
            "X-Deadline-Ms": "4000",
        }
        sent_s = time.monotonic()
        try:
            node = self.nodes[number % len(self.nodes)]
            async with self.session.post(
                f"{node.url}/s/x", headers=headers, data=b"%d" % number
            ) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            status = None
        self.statuses.append((sent_s, status))

    async def send_for(self, duration_s):
        async with asyncio.TaskGroup() as group:
            end_s = time.monotonic() + duration_s
            number = len(self.statuses)
            while time.monotonic() < end_s:
                group.create_task(self.send(number))
                number += 1
                await asyncio.sleep(_PERIOD_S)

    def share_served(self, from_s, to_s):
        statuses = [status for at_s, status in self.statuses if from_s <= at_s < to_s]
        return statuses.count(200) / max(1, len(statuses))


class ReturnTests(ReturnTestCase):
    async def test_replicas_that_crash_beside_the_return_hold_no_shared_part(self):
        """Guards against a route that is rejected for crashes of all replicas."""
        await self.start()
        await self.kill_nodes()
        await self.start()
        returned_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_for(_RECOVERY_S + _MEASURED_S))
            for _ in range(3):
                await asyncio.sleep(_CRASH_PERIOD_S)
                self.crash_engines()
        from_s = returned_s + _RECOVERY_S
        self.assertGreaterEqual(self.share_served(from_s, from_s + _MEASURED_S), 0.9)

    async def test_streams_are_served_if_a_version_was_named_while_no_node_ran(self):
        """Guards against older weights that serve nobody until loads have ended."""
        self.operator.set_weights_version("m", 1)
        for engine in self.engines:
            engine.loading_s = 3_600
        await self.start()
        await asyncio.sleep(_RUNNING_S)
        await self.kill_nodes()
        self.operator.set_weights_version("m", 2)
        await self.start()
        returned_s = time.monotonic()
        await self.send_for(_MEASURED_S)
        from_s, to_s = returned_s + 1.0, returned_s + _MEASURED_S
        self.assertGreaterEqual(self.share_served(from_s, to_s), 0.9)


if __name__ == "__main__":
    unittest.main()
