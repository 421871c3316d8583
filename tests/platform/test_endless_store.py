"""A store in trouble whose responses have no end."""

import json
import unittest

from fireflyward.backing import Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.platform import StoreClient
from tests.platform_standins import ENDLESS, EndlessReplica
from tests.platform_standins._http import RawServer, json_response

_HEADER_OR_FRAMING = ("header value", "interim responses", "chunk extension")
_BODIES = ("unframed body", "declared length")
_LIMIT_MS = 20_000


class _EndlessStore(EndlessReplica):
    async def answer(self, request, writer):
        await self.send_endlessly(writer, self.kind)
        return False


class _RepeatingStore(RawServer):
    """Returns the same page of a table again and again."""

    async def answer(self, request, writer):
        row = {"key": "k", "table": "t", "part": "", "value": "", "ver": 1}
        writer.write(json_response({"rows": [row], "has-more": True, "ver": 1}))
        return True


class EndlessStoreTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, server):
        await server.start()
        self.addAsyncCleanup(server.stop)
        store = StoreClient(server.address, clock=Clock())
        self.addCleanup(store.close)
        return store

    async def test_responses_without_end(self):
        """Guards against a node that exceeds its memory by one response."""
        server = _EndlessStore("s")
        store = await self.start(server)
        for kind in ENDLESS:
            if kind.name in (*_HEADER_OR_FRAMING, *_BODIES):
                server.kind = kind
                with self.assertLogs("fireflyward.http1", "WARNING"):
                    found = await store.rows("t", limit_ms=_LIMIT_MS)
                    written = await store.write(
                        table="t",
                        part="",
                        expected={},
                        puts={"k": json.dumps(1).encode()},
                        limit_ms=_LIMIT_MS,
                    )
                self.assertIsInstance(found, Unavailable)
                # The store may have carried out the write.
                self.assertIsInstance(written, Uncertain)

    async def test_pages_that_do_not_advance(self):
        """Guards against a table that is read forever."""
        store = await self.start(_RepeatingStore())
        with self.assertLogs("fireflyward.platform", "WARNING"):
            found = await store.rows("t")
        self.assertIsInstance(found, Unavailable)
