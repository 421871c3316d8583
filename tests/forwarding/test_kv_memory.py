"""Prompts that share a prefix, where KV memory is scarcer than slots."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import MagicMock

from fireflyward.clock import ManualClock
from fireflyward.deployment import (
    ModelWeights,
    ReplicaEntry,
    Route,
    RouteKind,
    ServiceShare,
)
from fireflyward.forwarding import Forwarder, Trace, WeightVersions
from fireflyward.platform import CallerRequest, PromptPart
from fireflyward.prefixes import PartPlanner
from fireflyward.replicas import (
    Chooser,
    InFlightLoad,
    KvRoom,
    PeerLoad,
    ReplicaDirectory,
    Requirements,
)
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed

from .fakes import SilentConnection
from .open_gate import OpenGate

KV_TOKENS = 82_350
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, 3_000, 1_045, 0, 1, (ServiceShare("s", 1),)
)
PARTS = PromptPart("shared", 9_122), PromptPart("own", 2_870)
CALLER = CallerRequest(
    "q1",
    "POST",
    "h",
    "/x",
    (),
    3_000.0,
    model="m",
    prompt_tokens=11_992,
    max_output_tokens=32,
    parts=PARTS,
)


class KvMemoryTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        entry = ReplicaEntry(
            "r1", "s", "r1:80", "a", 12, False, weights=(ModelWeights("m", 1),)
        )
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry])
        self.state = self.directory.find("r1")
        self.peers, self.room = PeerLoad(), KvRoom()
        long_prompt = Requirements("s", tokens=12_024, kv_tokens=KV_TOKENS)
        for _ in range(30):
            self.room.on_choice(0, self.state, long_prompt)
        self.connections = []
        pool = MagicMock()
        pool.acquire = self.acquire
        weights = WeightVersions(version_ms=12_000)
        self.forwarder = Forwarder(
            clock=ManualClock(0),
            pool=pool,
            chooser=Chooser(
                self.directory,
                failure_domain="a",
                peers=self.peers,
                kv_room=self.room,
                seed=1,
            ),
            budget=RetryBudget(ratio=0.2, extra=10, window_ms=10_000),
            weights=weights,
            planner=PartPlanner(),
            gate=OpenGate(),
            reach=MagicMock(),
            notices=MagicMock(),
        )

    async def acquire(self, address, *, connect_ms, fresh=False, without=()):
        self.connections.append(SilentConnection(address))
        return self.connections[-1]

    def serve(self, number=0):
        self.trace = Trace()
        return asyncio.create_task(
            self.forwarder.serve(
                replace(CALLER, request_id=f"q{number}"),
                b"",
                Allowed(ROUTE, "s", None, 1, kv_tokens=KV_TOKENS),
                arrived_ms=0,
                reply=None,
                trace=self.trace,
            )
        )

    async def test_runs_with_one_prefix_occupy_it_once_until_they_end(self):
        serving = [self.serve(number) for number in range(2)]
        while len(self.connections) < 2:
            await asyncio.sleep(0)
        for connection in self.connections:
            await connection.sent.wait()
        self.assertEqual(self.state.resident_tokens, 2 * 12_024)
        self.assertEqual(self.room.own_tokens(self.state, 0), 9_122 + 2 * 2_902)
        for task in serving:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)
        self.assertEqual(self.room.own_tokens(self.state, 0), 0)
        self.assertEqual(self.state.shared_runs, {})

    async def test_a_prompt_that_fits_nowhere_is_rejected_at_once(self):
        """Guards against preempting running streams for a prompt that is in time."""
        full = {self.state.incarnation_id: InFlightLoad(0, 72_000, 6)}
        self.peers.on_load_report(0, "n2", full)
        outcome = await self.serve()
        self.assertEqual(outcome.tag, "not_run")
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertGreater(self.trace.memory_ms, 0)
        self.assertEqual(self.connections, [])
