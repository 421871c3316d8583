"""Counters and HdrHistogram timings in the Prometheus text format."""

from hdrh.histogram import HdrHistogram

_LOWEST = 1
_HIGHEST_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counts and timings of one process.

    >>> metrics = Metrics()
    >>> metrics.count("requests_total", outcome="answered")
    >>> "fireflyward_requests_total" in metrics.text()
    True
    """

    __slots__ = ("_gauge_by_name", "_histogram_by_name", "_total_by_series")

    def __init__(self) -> None:
        self._total_by_series: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._gauge_by_name: dict[str, float] = {}

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Add ``by`` to a counter."""
        series = name, tuple(sorted(labels.items()))
        self._total_by_series[series] = self._total_by_series.get(series, 0) + by

    def total(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        return self._total_by_series.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, value: float) -> None:
        """Set a value that may go down again."""
        self._gauge_by_name[name] = value

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(min(max(int(value_ms), _LOWEST), _HIGHEST_MS))

    def quantile_ms(self, name: str, percentile: float) -> float:
        """Return a percentile of a recorded duration, 0 when there is none."""
        histogram = self._histogram_by_name.get(name)
        return histogram.get_value_at_percentile(percentile) if histogram else 0

    def text(self) -> str:
        """Return everything in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._total_by_series.items()):
            lines.append(f"fireflyward_{name}{_labels(labels)} {value:g}")
        for name, value in sorted(self._gauge_by_name.items()):
            lines.append(f"fireflyward_{name} {value:g}")
        for name, histogram in sorted(self._histogram_by_name.items()):
            for percentile in _QUANTILES:
                value = histogram.get_value_at_percentile(percentile)
                quantile = (("quantile", f"{percentile / 100:g}"),)
                lines.append(f"fireflyward_{name}{_labels(quantile)} {value:g}")
            lines.append(f"fireflyward_{name}_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    shown = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + shown + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
