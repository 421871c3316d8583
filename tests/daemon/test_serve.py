import asyncio
import os
import signal
import unittest
from unittest import mock

import aiohttp

from fireflyward.daemon import _serve
from fireflyward.daemon._node import Node
from fireflyward.demo import DOMAINS, DemoDeployment
from fireflyward.entry import _app
from fireflyward.invariants import Invariant, require


async def violate_invariant(request):
    require(False, Invariant.ONE_END, "on purpose")


class ServeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.nodes = []
        deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=0, engines_per_domain=1)
        )
        self.settings = deployment.make_settings("entry-1", DOMAINS[0])

    def make_node(self, settings):
        self.nodes.append(Node(settings))
        return self.nodes[-1]

    async def serve(self):
        with mock.patch.object(_serve, "Node", self.make_node):
            task = asyncio.create_task(_serve.serve(self.settings))
            while not self.nodes or not self.nodes[0].is_ready():
                await asyncio.sleep(0.01)
                if task.done():
                    self.fail(f"serve() returned too early: {task.exception()}")
        return task

    async def test_signal_causes_a_planned_stop(self):
        task = await self.serve()
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertTrue(await task)

    async def test_broken_invariant_stops_the_node_at_once_and_is_counted(self):
        """Guards against a node that continues to serve from an invalid state.

        A check of an invariant fails in a request handler. The failure must not be
        hidden by code that turns errors into responses, or by a task that is not
        awaited.
        """
        with mock.patch.object(_app, "_handle_health", violate_invariant):
            task = await self.serve()
            url = f"http://127.0.0.1:{self.nodes[0].port}/healthz"
            with self.assertLogs(level="CRITICAL") as logs:
                async with aiohttp.ClientSession() as session:
                    with self.assertRaises(aiohttp.ClientError):
                        await session.get(url)
        self.assertFalse(await task)
        self.assertIn("a run ends once, with nothing after its end", logs.output[0])
        total = self.nodes[0].metrics.total
        self.assertTrue(total("invariants_broken_total", invariant="ONE_END"))
