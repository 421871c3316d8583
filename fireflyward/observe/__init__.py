"""Observability of a process: logs, metrics and traces."""

from ._logs import PER_REQUEST, PROOF, set_up_logs
from ._metrics import Metrics
from ._traces import Tracing, current_trace_parent, hop

__all__ = [
    "PER_REQUEST",
    "PROOF",
    "Metrics",
    "Tracing",
    "current_trace_parent",
    "hop",
    "set_up_logs",
]
