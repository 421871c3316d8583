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
_MOST_WAITING_SPANS = 2_048

# The tracer of the request that this task serves, None when it is not sampled.
# A task begun by another inherits it, so hops below need no argument for it.
_current_tracer: ContextVar[Any] = ContextVar("current_tracer", default=None)


class Tracing:
    """Opens the first span of each sampled request.

    The SDK is imported with the first sampled request, so that a node that
    samples nothing pays neither its memory nor its start time. Spans end in a
    bounded queue that a thread of the SDK empties; when it is full they are
    dropped, so a slow exporter neither slows nor stops serving.
    """

    __slots__ = ("_exporter", "_provider", "_random", "_share", "_tracer")

    def __init__(self, share: float, *, exporter: Any | None = None) -> None:
        self._share = share
        self._random = random.Random()
        self._exporter = exporter
        self._provider = None
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
        tracer = self._tracer or self._make_tracer()
        parent = _propagator().extract({"traceparent": trace_parent})
        token = _current_tracer.set(tracer)
        try:
            with tracer.start_as_current_span(name, parent, attributes=attributes):
                yield current_trace_parent()
        finally:
            _current_tracer.reset(token)

    def flush(self) -> None:
        """Hand finished spans to the exporter now, as a stopping process does."""
        if self._provider:
            self._provider.force_flush()

    def close(self) -> None:
        """Flush and end the exporting thread."""
        if self._provider:
            self._provider.shutdown()
            self._provider = self._tracer = None

    def _make_tracer(self) -> Any:
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import BatchSpanProcessor

        self._provider = TracerProvider()
        processor = BatchSpanProcessor(
            self._exporter or _log_exporter(), max_queue_size=_MOST_WAITING_SPANS
        )
        self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("fireflyward")
        return self._tracer


@contextmanager
def hop(name: str, **attributes: str) -> Iterator[str]:
    """Open a span for one hop of the current request, if it is sampled.

    Yields the W3C ``traceparent`` to send along, empty when there is none. It is
    for coroutines; a generator that is closed from elsewhere must not hold one.

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
        """Writes each span as one line at level debug."""

        def export(self, spans):
            for span in spans:
                log.debug("traces: %s", span.to_json(indent=None))
            return SpanExportResult.SUCCESS

    return LogExporter()
