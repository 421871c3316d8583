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

    def test_hops_below_a_request_are_of_its_trace(self):
        with self.tracing.span("entry", SAMPLED):
            with hop("attempt", upstream="engine-1") as passed_on:
                pass
        spans = self.spans_by_name()
        self.assertEqual(
            spans["attempt"].parent.span_id, spans["entry"].context.span_id
        )
        self.assertEqual(f"{spans['entry'].context.trace_id:032x}", TRACE_ID)
        self.assertEqual(passed_on.split("-")[1], TRACE_ID)

    def test_hop_outside_a_sampled_request_is_nothing(self):
        with hop("attempt") as passed_on:
            self.assertEqual(passed_on, "")
        self.assertEqual(current_trace_parent(), "")
        self.assertEqual(self.spans_by_name(), {})

    def test_callers_decision_goes_before_the_share(self):
        self.assertTrue(self.tracing.is_sampled(SAMPLED))
        self.assertFalse(Tracing(1.0).is_sampled(SAMPLED[:-1] + "0"))
        self.assertFalse(Tracing(1.0).is_sampled("a-b-c-zz"))
        self.assertTrue(Tracing(1.0).is_sampled(""))

    def test_exporter_that_fails_does_not_reach_the_request(self):
        class Failing(InMemorySpanExporter):
            def export(self, spans):
                raise OSError("collector away")

        tracing = Tracing(1.0, exporter=Failing())
        with self.assertLogs("opentelemetry", "ERROR"):
            with tracing.span("entry", ""):
                pass
            tracing.flush()
        tracing.close()
