"""Measures the transfer rates of one node's links to stores."""

from dataclasses import dataclass, field

from ._plans import Tier

_NEW_SAMPLE_WEIGHT = 0.2
_RATE_DOUBLING_MS = 60_000.0
_FIRST_BACKOFF_MS = 1_000
_MAX_BACKOFF_MS = 60_000


def _moving_average(old: float, sample: float) -> float:
    return old + _NEW_SAMPLE_WEIGHT * (sample - old)


@dataclass(slots=True)
class _Link:
    bytes_per_ms: dict[Tier, float] = field(default_factory=dict)
    measured_at_ms: dict[Tier, float] = field(default_factory=dict)
    in_flight_bytes: int = 0
    failures: int = 0
    backoff_until_ms: float = 0.0


class LinkRates:
    """Measures the rate of each store's link and avoids stores that deliver nothing.

    Other nodes use the same links, so the measured rate of an import already accounts
    for their traffic. A low rate is doubled every minute, up to the initial rate;
    otherwise a link that was slow once would never be used again. A store that
    delivered nothing is not used for one second, then for two, four and so on up to
    a minute. The next import then serves as a probe.
    """

    __slots__ = ("_initial", "_link_by_store")

    def __init__(self, initial_bytes_per_ms: float) -> None:
        self._initial = initial_bytes_per_ms
        self._link_by_store: dict[str, _Link] = {}

    def on_start(self, store: str, size_bytes: int) -> None:
        """Add the bytes of a transfer that this node starts on a store's link."""
        self._link(store).in_flight_bytes += size_bytes

    def on_end(self, store: str, size_bytes: int) -> None:
        """Subtract the bytes of a transfer that finished or failed."""
        link = self._link(store)
        link.in_flight_bytes = max(0, link.in_flight_bytes - size_bytes)

    def on_measured(
        self, now_ms: float, store: str, tier: Tier, size_bytes: int, took_ms: float
    ) -> None:
        """Update the rate from a complete or partial transfer."""
        link = self._link(store)
        sample = size_bytes / max(took_ms, 0.001)
        current = self.bytes_per_ms(now_ms, store, tier)
        link.bytes_per_ms[tier] = _moving_average(current, sample)
        link.measured_at_ms[tier] = now_ms
        link.failures = 0
        link.backoff_until_ms = 0.0

    def on_no_data(self, now_ms: float, store: str) -> None:
        """Record an import that was aborted before its first block arrived."""
        link = self._link(store)
        backoff_ms = min(_FIRST_BACKOFF_MS << min(link.failures, 16), _MAX_BACKOFF_MS)
        link.failures += 1
        link.backoff_until_ms = now_ms + backoff_ms

    def is_available(self, now_ms: float, store: str) -> bool:
        """Return whether an import from a store may be tried now."""
        return now_ms >= self._link(store).backoff_until_ms

    def bytes_per_ms(self, now_ms: float, store: str, tier: Tier) -> float:
        """Return the estimated rate of a store's tier."""
        link = self._link(store)
        measured = link.bytes_per_ms.get(tier)
        if measured is None:
            return self._initial
        age_ms = now_ms - link.measured_at_ms[tier]
        recovered = measured * 2 ** min(60.0, age_ms / _RATE_DOUBLING_MS)
        return max(measured, min(recovered, self._initial))

    def in_flight_bytes(self, store: str) -> int:
        """Return the bytes that this node is transferring on the store's link."""
        return self._link(store).in_flight_bytes

    def _link(self, store: str) -> _Link:
        return self._link_by_store.setdefault(store, _Link())
