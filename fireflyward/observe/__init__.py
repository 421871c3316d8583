"""What a process tells of itself: logs, metrics and traces."""

from ._logs import set_up_logs
from ._metrics import Metrics
from ._traces import Tracing

__all__ = ["Metrics", "Tracing", "set_up_logs"]
