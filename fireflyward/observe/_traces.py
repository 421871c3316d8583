"""Spans of sampled requests, through the OpenTelemetry API and SDK."""

import logging
import random
from collections.abc import Iterator
from contextlib import contextmanager

log = logging.getLogger("fireflyward.traces")

_TRACE_PARENT_PARTS = 4
_SAMPLED_FLAG = 1


class Tracing:
    """Opens a span for each hop of the requests that are sampled.

    The SDK is imported with the first sampled request, so that a node that
    samples nothing pays neither its memory nor its start time. Finished spans are
    written as log lines at debug level; nothing here waits for a collector.
    """

    __slots__ = ("_random", "_share", "_tracer")

    def __init__(self, share: float) -> None:
        self._share = share
        self._random = random.Random()
        self._tracer = None

    def is_sampled(self, trace_parent: str) -> bool:
        """Follow the caller's decision if it sent one, else draw one."""
        parts = trace_parent.split("-")
        if len(parts) == _TRACE_PARENT_PARTS:
            try:
                return bool(int(parts[3], 16) & _SAMPLED_FLAG)
            except ValueError:
                return False
        return self._random.random() < self._share

    @contextmanager
    def span(self, name: str, trace_parent: str, **attributes: str) -> Iterator[str]:
        """Open a span below ``trace_parent``; yield the header to pass on."""
        from opentelemetry.trace.propagation.tracecontext import (
            TraceContextTextMapPropagator,
        )

        propagator = TraceContextTextMapPropagator()
        parent = propagator.extract({"traceparent": trace_parent})
        tracer = self._tracer or self._make_tracer()
        with tracer.start_as_current_span(name, parent, attributes=attributes):
            carrier: dict[str, str] = {}
            propagator.inject(carrier)
            yield carrier.get("traceparent", trace_parent)

    def _make_tracer(self):
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import SimpleSpanProcessor

        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(_log_exporter()))
        self._tracer = provider.get_tracer("fireflyward")
        return self._tracer


def _log_exporter():
    from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

    class LogExporter(SpanExporter):
        """Writes each span as one debug line."""

        def export(self, spans):
            for span in spans:
                log.debug("traces: %s", span.to_json(indent=None))
            return SpanExportResult.SUCCESS

    return LogExporter()
