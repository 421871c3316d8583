import unittest

from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from fireflyward.observe import Tracing, current_trace_parent, hop

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE_ID}-b7ad6b7169203331-01"


class TracingTests(unittest.TestCase):
    def setUp(self):
        self.exporter = InMemorySpanExporter()
        self.tracing = Tracing(0.0, exporter=self.exporter)
        self.addCleanup(self.tracing.close)

    def spans_by_name(self):
        self.tracing.flush()
        return {span.name: span for span in self.exporter.get_finished_spans()}

    def test_hops_of_a_request_belong_to_its_trace(self):
        with self.tracing.span("entry", SAMPLED):
            with hop("attempt", upstream="engine-1") as trace_parent:
                pass
        spans = self.spans_by_name()
        self.assertEqual(
            spans["attempt"].parent.span_id, spans["entry"].context.span_id
        )
        self.assertEqual(f"{spans['entry'].context.trace_id:032x}", TRACE_ID)
        self.assertEqual(trace_parent.split("-")[1], TRACE_ID)

    def test_hop_outside_a_sampled_request_opens_no_span(self):
        with hop("attempt") as trace_parent:
            self.assertEqual(trace_parent, "")
        self.assertEqual(current_trace_parent(), "")
        self.assertEqual(self.spans_by_name(), {})

    def test_callers_sampling_decision_has_priority(self):
        self.assertTrue(self.tracing.is_sampled(SAMPLED))
        self.assertFalse(Tracing(1.0).is_sampled(SAMPLED[:-1] + "0"))
        self.assertFalse(Tracing(1.0).is_sampled("a-b-c-zz"))
        self.assertTrue(Tracing(1.0).is_sampled(""))

    def test_failing_exporter_does_not_affect_the_request(self):
        class FailingExporter(InMemorySpanExporter):
            def export(self, spans):
                raise OSError("collector unavailable")

        tracing = Tracing(1.0, exporter=FailingExporter())
        with self.assertLogs("opentelemetry", "ERROR"):
            with tracing.span("entry", ""):
                pass
            tracing.flush()
        tracing.close()
