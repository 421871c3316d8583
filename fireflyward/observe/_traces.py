"""Spans of sampled requests, through the OpenTelemetry API and SDK."""

import logging
import random
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

log = logging.getLogger("fireflyward.traces")

_TRACE_PARENT_PARTS = 4
_SAMPLED_FLAG = 1
_MAX_QUEUED_SPANS = 2_048

# The tracer of the request that this task serves, or None if it is not sampled. A task
# inherits the value from the task that created it, so nested hops need no argument.
_current_tracer: ContextVar[Any] = ContextVar("current_tracer", default=None)


class Tracing:
    """Opens the first span of each sampled request.

    The SDK is imported at the first sampled request, so that a node that samples no
    requests needs neither the memory nor the start time for it. Finished spans go
    into a bounded queue, which a thread of the SDK exports. When the queue is full,
    spans are dropped, so that a slow exporter does not delay requests.
    """

    __slots__ = ("_exporter", "_provider", "_random", "_sampled_share", "_tracer")

    def __init__(self, sampled_share: float, *, exporter: Any | None = None) -> None:
        self._sampled_share = sampled_share
        self._random = random.Random()
        self._exporter = exporter
        self._provider = None
        self._tracer = None

    def is_sampled(self, trace_parent: str) -> bool:
        """Return the caller's sampling decision, or a random one if it sent none."""
        parts = trace_parent.split("-")
        if len(parts) == _TRACE_PARENT_PARTS:
            try:
                return bool(int(parts[3], 16) & _SAMPLED_FLAG)
            except ValueError:
                return False
        return self._random.random() < self._sampled_share

    @contextmanager
    def span(self, name: str, trace_parent: str, **attributes: str) -> Iterator[str]:
        """Open a child span of ``trace_parent``; yield the header to pass on."""
        tracer = self._tracer or self._make_tracer()
        parent = _propagator().extract({"traceparent": trace_parent})
        token = _current_tracer.set(tracer)
        try:
            with tracer.start_as_current_span(name, parent, attributes=attributes):
                yield current_trace_parent()
        finally:
            _current_tracer.reset(token)

    def flush(self) -> None:
        """Export all finished spans now."""
        if self._provider:
            self._provider.force_flush()

    def close(self) -> None:
        """Flush and stop the exporting thread."""
        if self._provider:
            self._provider.shutdown()
            self._provider = self._tracer = None

    def _make_tracer(self) -> Any:
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import BatchSpanProcessor

        self._provider = TracerProvider()
        processor = BatchSpanProcessor(
            self._exporter or _log_exporter(), max_queue_size=_MAX_QUEUED_SPANS
        )
        self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("fireflyward")
        return self._tracer


@contextmanager
def hop(name: str, **attributes: str) -> Iterator[str]:
    """Open a span for one hop of the current request, if it is sampled.

    Yields the W3C ``traceparent`` header to send, or an empty string. Use it only in
    coroutines, not in a generator that another task may close.

        with hop("peer", peer="entry-2") as trace_parent:
            ...
    """
    tracer = _current_tracer.get()
    if tracer is None:
        yield ""
        return
    with tracer.start_as_current_span(name, attributes=attributes):
        yield current_trace_parent()


def current_trace_parent() -> str:
    """Return the ``traceparent`` of the current span, or an empty string."""
    if _current_tracer.get() is None:
        return ""
    carrier: dict[str, str] = {}
    _propagator().inject(carrier)
    return carrier.get("traceparent", "")


def _propagator() -> Any:
    from opentelemetry.trace.propagation.tracecontext import (
        TraceContextTextMapPropagator,
    )

    return TraceContextTextMapPropagator()


def _log_exporter() -> Any:
    from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

    class LogExporter(SpanExporter):
        """Logs each span as one line at level debug."""

        def export(self, spans):
            for span in spans:
                log.debug("traces: %s", span.to_json(indent=None))
            return SpanExportResult.SUCCESS

    return LogExporter()
