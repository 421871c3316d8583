"""Reports that confirm, before a stream goes on, which incarnation a replica is."""

import json
import unittest

from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool
from fireflyward.platform import is_incarnation
from tests.http1.cut_responses import CutServer, cuts
from tests.platform_standins import response
from tests.replicas.makers import entry

_BORN = 1_764_700_000_000
_LIMIT_MS = 20_000


class CutReportTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = CutServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.pool = ConnectionPool(Clock())
        self.addCleanup(self.pool.close)

    async def confirms(self, data):
        self.server.data = data
        connection = await self.pool.acquire(self.server.address, connect_ms=_LIMIT_MS)
        try:
            return await is_incarnation(
                connection,
                entry("r1", address=self.server.address, started_ms=_BORN),
                clock=Clock(),
                limit_ms=_LIMIT_MS,
                memory=self.pool.memory,
            )
        finally:
            connection.close()

    async def test_a_report_that_is_cut_confirms_no_incarnation(self):
        """Guards against a stream that goes on at a replica that has restarted."""
        report = json.dumps({"busy": False, "born": _BORN + 1_000}).encode()
        unframed = b"HTTP/1.1 200 OK\r\n\r\n"
        for data in (
            *(unframed + part for part in cuts(report)),
            *cuts(response(200, report)),
            response(200, report[:-1]),
            response(200, b"[" * 20_000),
        ):
            self.assertFalse(await self.confirms(data), data)

    async def test_whole_reports(self):
        for fields, expected in (
            ({"born": _BORN}, True),
            ({"born": _BORN + 1_000}, False),
            ({"busy": True}, True),
        ):
            data = response(200, json.dumps(fields).encode())
            self.assertIs(await self.confirms(data), expected)
        self.assertFalse(await self.confirms(response(421)))
