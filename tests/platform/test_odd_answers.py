"""Answers of the store, of replicas and of KV cache stores with unusual content."""

import json
import unittest

from fireflyward.backing import Unavailable
from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool
from fireflyward.platform import ReplicaApi, StoreClient
from tests.platform_standins._http import RawServer, response
from tests.positions import at


class _Responder(RawServer):
    body = b""

    async def answer(self, request, writer):
        writer.write(response(200, self.body))
        return True


class OddAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = _Responder()
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        pool = ConnectionPool(Clock())
        self.addCleanup(pool.close)
        self.api = ReplicaApi(pool, clock=Clock())
        self.store = StoreClient(self.address, clock=Clock())
        self.addCleanup(self.store.close)

    def answer(self, **fields):
        self.server.body = json.dumps(fields).encode()

    async def test_versions_out_of_bounds_are_no_answer(self):
        """Guards against a position that no message carries, or means a full read."""
        for ver in (-1, -2, 2**63, 2**70, 1.5):
            for answer in ({"ver": ver}, {"rows": [{"key": "k", "ver": ver}]}):
                with self.subTest(answer=answer):
                    self.answer(**answer)
                    self.assertIsInstance(await self.store.rows("t"), Unavailable)
                    found = await self.store.changes(
                        "t", after=at(1), wait_ms=0, limit_ms=500
                    )
                    self.assertIsInstance(found, Unavailable)

    async def test_a_clock_out_of_bounds_is_not_read(self):
        """Guards against times that no message and no calculation carries."""
        for now_ms in (-1, 1e300, 2**60, "noon"):
            with self.subTest(now_ms=now_ms):
                self.answer(**{"now-ms": now_ms, "ver": 1})
                self.assertIsInstance(await self.store.rows("t"), Unavailable)
                self.assertIsNone(self.store.time)

    async def report(self):
        return await self.api.report(self.address, "i", limit_ms=500)

    async def test_a_report_out_of_bounds_is_no_report(self):
        """Guards against a replica's numbers that fail a task that sums them up."""
        for odd in (
            {"active": 2**31},
            {"active": -1},
            {"queued": 10**400},
            {"sequence": 2**64},
            {"born": -5},
            {"models": [{"name": "m", "version": 2**64}]},
            {"models": [{"name": "m", "version": -1}]},
        ):
            with self.subTest(odd=odd):
                self.answer(**odd)
                self.assertIsNone(await self.report())
        self.answer(active=3, born=2**63 - 1)
        self.assertEqual((await self.report()).running, 3)

    async def test_odd_events_of_a_kv_store_leave_the_others(self):
        """Guards against a KV store that is followed no more after one odd event."""
        sound = [4, "+", "s1", "5c", 800, "m"]
        odd = [
            [5, "+", "s1", "5d", -1, "m"],
            [6, "+", "s1", "5e", 2**40, "m"],
            [2**70, "+", "s1", "5f", 1, "m"],
            [7, "+", "s1"],
            "event",
            None,
        ]
        self.answer(**{"boot-epoch": 7, "next": 9, "events": [*odd, sound, *odd]})
        found = await self.api.kv_events(self.address, since=0, wait_ms=0, limit_ms=500)
        self.assertEqual([event.key.part_id for event in found.events], ["5c"])
        self.assertTrue(found.has_gap)
        held = [item[2:] for item in odd[:4]]
        self.answer(**{"boot-epoch": 7, "next": 9, "held": [*held, sound[2:], None]})
        found = await self.api.kv_list(self.address, limit_ms=500)
        self.assertEqual([event.tokens for event in found.events][-1], 800)
        for number in (-1, 2**63):
            self.answer(**{"boot-epoch": 7, "next": number, "events": []})
            call = self.api.kv_events(self.address, since=0, wait_ms=0, limit_ms=500)
            self.assertIsNone(await call)
