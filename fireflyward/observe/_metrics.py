"""Counters and HdrHistogram timings in the Prometheus text format."""

from hdrh.histogram import HdrHistogram

_MIN_VALUE_MS = 1
_MAX_VALUE_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counters, gauges and timings of one process.

    >>> metrics = Metrics()
    >>> metrics.count("requests_total", outcome="answered")
    >>> "fireflyward_requests_total" in metrics.text()
    True
    """

    __slots__ = ("_gauge_by_series", "_histogram_by_name", "_total_by_series")

    def __init__(self) -> None:
        self._total_by_series: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._gauge_by_series: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Add ``by`` to a counter."""
        series = name, tuple(sorted(labels.items()))
        self._total_by_series[series] = self._total_by_series.get(series, 0) + by

    def total(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        return self._total_by_series.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge, which may also decrease."""
        self._gauge_by_series[name, tuple(sorted(labels.items()))] = value

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(_MIN_VALUE_MS, _MAX_VALUE_MS, _SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(min(max(int(value_ms), _MIN_VALUE_MS), _MAX_VALUE_MS))

    def quantile_ms(self, name: str, percentile: float) -> float:
        """Return a percentile of the recorded durations, 0 if there are none."""
        histogram = self._histogram_by_name.get(name)
        return histogram.get_value_at_percentile(percentile) if histogram else 0

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._total_by_series.items()):
            lines.append(f"fireflyward_{name}{_format_labels(labels)} {value:g}")
        for (name, labels), value in sorted(self._gauge_by_series.items()):
            lines.append(f"fireflyward_{name}{_format_labels(labels)} {value:g}")
        for name, histogram in sorted(self._histogram_by_name.items()):
            for percentile in _PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                quantile = (("quantile", f"{percentile / 100:g}"),)
                lines.append(f"fireflyward_{name}{_format_labels(quantile)} {value:g}")
            lines.append(f"fireflyward_{name}_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"


def _format_labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    formatted = ",".join(
        f'{name}="{_escape_label_value(value)}"' for name, value in labels
    )
    return "{" + formatted + "}"


def _escape_label_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
