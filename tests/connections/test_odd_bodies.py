"""Answers of the product's own upstreams and services that no sound one sends."""

import json
import unittest

from fireflyward.backing import (
    HttpTable,
    HttpVms,
    HttpWeights,
    Unavailable,
    Uncertain,
    VmList,
)
from fireflyward.connections import Sessions
from fireflyward.kept import HttpStore, ListQuery, StoreUnavailable
from fireflyward.upstreams import (
    BlockRef,
    Broken,
    EngineOrder,
    ExportOrder,
    HttpKvEngine,
    HttpOrderedEngine,
    ImportOrder,
)
from tests.http1.cut_responses import CutServer
from tests.platform_standins import response

_NESTED = b'{"x": ' + b"[" * 20_000 + b"]" * 20_000 + b"}"
_ABSURD = (10**400, 2**64, -1)
_BLOCK = {"key": "k", "store": "s", "slot": 1, "generation": 1}
_EVENT = {"sequence": 1, "change": "stored", "key": "k"}
_ROW = {"key": "k", "value": "", "version": 1}
_VMS = {"entries": [], "as_of_ms": 1}
_STATE = {"version_by_model": {"m": "v1"}}


class OddBodyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = CutServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        sessions = Sessions()
        self.addAsyncCleanup(sessions.close)
        session, url = sessions.pooled, f"http://{self.server.address}"
        self.table, self.vms = HttpTable(session, url), HttpVms(session, url)
        self.weights = HttpWeights(session, url)
        self.store = HttpStore(session, "s", url)
        self.kv = HttpKvEngine(session, url)
        self.ordered = HttpOrderedEngine(session, url)

    async def assert_each(self, call, failure, bodies, *, status=200):
        for body in bodies:
            encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
            self.server.data = response(status, encoded)
            with self.subTest(encoded[:60]):
                self.assertIsInstance(await call(), failure)

    async def test_the_platforms_services(self):
        """Guards against an exception in each task that reads a row."""
        odd = [{**_ROW, "version": number} for number in _ABSURD]
        await self.assert_each(lambda: self.table.get("k"), Unavailable, odd)
        await self.assert_each(lambda: self.table.get("k"), Unavailable, [_NESTED])
        rows = [[row] for row in odd]
        await self.assert_each(lambda: self.table.scan("k"), Unavailable, rows)
        versions = [{"versions": {"k": number}} for number in _ABSURD]
        await self.assert_each(
            lambda: self.table.commit(expected={}, puts={}),
            Uncertain,
            [*versions, _NESTED],
        )
        await self.assert_each(self.weights.versions, Unavailable, [_NESTED])
        odd = [{**_VMS, "as_of_ms": number} for number in _ABSURD]
        await self.assert_each(self.vms.list, Unavailable, [*odd, _NESTED])
        await self.assert_each(self.vms.list, VmList, [_VMS])

    async def test_stores_of_kv_caches(self):
        """Guards against descriptors and usages that no message can carry."""
        refs = [
            {"refs": [{**_BLOCK, name: number}]}
            for name in ("slot", "generation", "length", "position")
            for number in _ABSURD
        ]
        await self.assert_each(
            lambda: self.store.describe(("k",)), StoreUnavailable, [*refs, _NESTED]
        )
        usage = {"used": 1, "capacity": 2, "used_by_owner": {}}
        odd = [{**usage, "used": number} for number in _ABSURD]
        await self.assert_each(self.store.usage, StoreUnavailable, [*odd, _NESTED])
        listing = {"epoch": 1, "next_sequence": 1, "changes": []}
        odd = [{**listing, "next_sequence": number} for number in _ABSURD]
        await self.assert_each(
            lambda: self.store.list(ListQuery()), StoreUnavailable, odd
        )
        block = BlockRef("k", "s", 1, 1)
        await self.assert_each(
            lambda: self.store.read(block), StoreUnavailable, [_NESTED], status=409
        )

    async def test_kv_calls_of_engines(self):
        """Guards against sequences and counts that are added up and then fail."""
        order = ExportOrder("o", "m", "v1", (), {})
        odd = [{"sealed": [{**_BLOCK, "slot": number}]} for number in _ABSURD]
        await self.assert_each(
            lambda: self.kv.export_blocks(order), Broken, [*odd, _NESTED]
        )
        order = ImportOrder("o", "m", "v1", (), {}, 1_000)
        odd = [{"blocks": number} for number in _ABSURD]
        await self.assert_each(
            lambda: self.kv.import_blocks(order), Broken, [*odd, _NESTED]
        )
        events = {"epoch": "e", "newest": 1, "events": [_EVENT]}
        odd = [{**events, "newest": number} for number in (10**400, 2**64)]
        odd += [
            {**events, "events": [{**_EVENT, "sequence": number}]}
            for number in (10**400, 2**64)
        ]
        await self.assert_each(lambda: self.kv.cache_events(0), Broken, [*odd, _NESTED])

    async def test_orders_to_engines(self):
        """Guards against a driver that takes over a number no lease can reach."""
        odd = [{**_STATE, "fencing": number} for number in _ABSURD]
        odd += [{**_STATE, "running_by_model": {"m": number}} for number in _ABSURD]
        await self.assert_each(self.ordered.state, Broken, [*odd, _NESTED])
        order = EngineOrder("o", 1)
        odd = [{"reason": "old_fencing", "fencing": number} for number in _ABSURD]
        await self.assert_each(
            lambda: self.ordered.send_order(order), Broken, [*odd, _NESTED], status=409
        )
