"""A node beside replicas whose responses have no end."""

import tempfile
import unittest

from tests.platform_standins import ENDLESS

from .endless_run import CONNECTIONS, MEMORY_MB, EndlessRun

# The node stays within its memory with room to spare.
_MAX_MEMORY_MB = 0.8 * MEMORY_MB
# A response of the largest size is read, and what is on its way is sent in vain.
_MAX_SENT_BYTES = 32 << 20
# Kinds that fail in different parts of the program, of which each takes some seconds.
_KINDS = (
    "header value",
    "empty headers",
    "chunks",
    "body of a rejection",
    "event",
    "events",
)


class EndlessResponsesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.run_ = EndlessRun(folder.name)
        await self.run_.start()
        self.addAsyncCleanup(self.run_.stop)

    async def test_ten_responses_without_end_at_once(self):
        """Guards against one replica whose responses end a node by its memory."""
        for kind in ENDLESS:
            if kind.name not in _KINDS:
                continue
            with self.subTest(kind):
                result = await self.run_.play(kind)
                self.assertLess(result.peak_mb, _MAX_MEMORY_MB)
                self.assertEqual(len(result.sent_bytes), CONNECTIONS)
                self.assertLess(max(result.sent_bytes), _MAX_SENT_BYTES)
                self.assertEqual(set(result.other_statuses), {200})
                # The replica may have run each request, and no other one may repeat it.
                self.assertEqual(result.executed, CONNECTIONS)
                self.assertLessEqual(result.statuses.keys(), {502, "broken off"})
        lines = self.run_.node.log.read_text().splitlines()
        self.assertGreaterEqual(
            sum("limit" in line for line in lines), CONNECTIONS * len(_KINDS)
        )
