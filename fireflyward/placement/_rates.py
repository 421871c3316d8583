"""Speeds of the links to stores as one node measures them."""

from dataclasses import dataclass, field

from ._plans import Tier

_NEW_SAMPLE_SHARE = 0.2
_FORGET_MS = 60_000.0
_FIRST_PAUSE_MS = 1_000
_LONGEST_PAUSE_MS = 60_000


def _mixed(old: float, sample: float) -> float:
    return old + _NEW_SAMPLE_SHARE * (sample - old)


@dataclass(slots=True)
class _Link:
    bytes_per_ms: dict[Tier, float] = field(default_factory=dict)
    measured_at_ms: dict[Tier, float] = field(default_factory=dict)
    in_flight_bytes: int = 0
    failures: int = 0
    closed_until_ms: float = 0.0


class LinkRates:
    """Learns what each store's link gives, and leaves alone one that gives nothing.

    Others use the same links, so that the measured rate of each import already
    holds their part. A slow measurement is forgotten by doubling the rate every
    minute, up to the initial one: else a link that was slow once would never be
    tried again. A store that delivered nothing is left alone for a second, then
    two, four and so on up to a minute; the next import is the probe.
    """

    __slots__ = ("_initial", "_link_by_store")

    def __init__(self, initial_bytes_per_ms: float) -> None:
        self._initial = initial_bytes_per_ms
        self._link_by_store: dict[str, _Link] = {}

    def on_start(self, store: str, size_bytes: int) -> None:
        """Count bytes that this node now moves on a store's link."""
        self._link(store).in_flight_bytes += size_bytes

    def on_end(self, store: str, size_bytes: int) -> None:
        """Count bytes off again, moved or not."""
        link = self._link(store)
        link.in_flight_bytes = max(0, link.in_flight_bytes - size_bytes)

    def on_measured(
        self, now_ms: float, store: str, tier: Tier, size_bytes: int, took_ms: float
    ) -> None:
        """Take a finished or partial transfer."""
        link = self._link(store)
        sample = size_bytes / max(took_ms, 0.001)
        known = self.bytes_per_ms(now_ms, store, tier)
        link.bytes_per_ms[tier] = _mixed(known, sample)
        link.measured_at_ms[tier] = now_ms
        link.failures = 0
        link.closed_until_ms = 0.0

    def on_no_data(self, now_ms: float, store: str) -> None:
        """Take an import that was given up before its first block arrived."""
        link = self._link(store)
        pause_ms = min(_FIRST_PAUSE_MS << min(link.failures, 16), _LONGEST_PAUSE_MS)
        link.failures += 1
        link.closed_until_ms = now_ms + pause_ms

    def is_available(self, now_ms: float, store: str) -> bool:
        """Tell whether an import may be tried now."""
        return now_ms >= self._link(store).closed_until_ms

    def bytes_per_ms(self, now_ms: float, store: str, tier: Tier) -> float:
        """Return the rate to expect of a store's tier."""
        link = self._link(store)
        known = link.bytes_per_ms.get(tier)
        if known is None:
            return self._initial
        age_ms = now_ms - link.measured_at_ms[tier]
        recovered = known * 2 ** min(60.0, age_ms / _FORGET_MS)
        return max(known, min(recovered, self._initial))

    def in_flight_bytes(self, store: str) -> int:
        """Return what this node moves on the store's link now."""
        return self._link(store).in_flight_bytes

    def _link(self, store: str) -> _Link:
        return self._link_by_store.setdefault(store, _Link())
