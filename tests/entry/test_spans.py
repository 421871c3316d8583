import json
import unittest
from unittest import mock

import aiohttp
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from fireflyward.demo import DemoDeployment
from fireflyward.observe import _traces

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE_ID}-b7ad6b7169203331-01"


class SpanTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a slow answer whose waiting time cannot be located.

    A sampled request passes the entry, routing, an attempt and the table service.
    Each of these must record a span, and not only the first.
    """

    async def asyncSetUp(self):
        self.exporter = InMemorySpanExporter()
        patched = mock.patch.object(_traces, "_log_exporter", lambda: self.exporter)
        self.enterContext(patched)
        self.demo = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.node = next(iter(self.demo.node_by_name.values()))

    async def spans_of(self, path, body, **headers):
        sent = {"Authorization": "Bearer key-bridge", "traceparent": SAMPLED, **headers}
        async with aiohttp.ClientSession() as session:
            async with session.post(
                f"http://127.0.0.1:{self.node.port}{path}", data=body, headers=sent
            ) as response:
                self.assertEqual(response.status, 200, await response.read())
        self.node.tracing.flush()
        self.addCleanup(self.node.tracing.close)
        spans = self.exporter.get_finished_spans()
        for span in spans:
            self.assertEqual(f"{span.context.trace_id:032x}", TRACE_ID)
        return {span.name for span in spans}

    async def test_prompt_has_a_span_for_each_hop(self):
        body = json.dumps({"model": "clauses", "prompt": "beam?", "max_tokens": 2})
        names = await self.spans_of("/v1/completions", body)
        self.assertLessEqual({"entry", "routing", "attempt"}, names)

    async def test_non_idempotent_call_has_a_span_for_each_hop(self):
        names = await self.spans_of(
            "/services/drafting/revisions", b"r1", **{"Idempotency-Key": "k"}
        )
        self.assertLessEqual({"entry", "attempt"}, names)
