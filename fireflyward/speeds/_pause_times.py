"""How long the pauses in streams are, learnt from the streams of this node."""

from dataclasses import dataclass

# Step of the estimates relative to their value, per pause.
_STEP = 0.05
_USUAL_SHARE = 0.5
# High enough to be a pause while prompts are read, even if few are. The pauses above it
# are left to callers that read slowly and to slow phases that no answer has reported.
_LONG_SHARE = 0.97
# Fewer pauses say little; a stream has 3 to 10.
_MIN_PAUSES = 30
# Parts that arrive together were not generated separately.
_MIN_PAUSE_MS = 2.0


@dataclass(slots=True)
class ServicePauses:
    """Pauses at the usual speed: half are shorter than ``usual_ms``.

    Of 100 pauses, 97 are shorter than ``long_ms``.
    """

    usual_ms: float
    long_ms: float
    count: int = 0

    def add(self, pause_ms: float) -> None:
        """Move both estimates towards their quantiles."""
        self.count += 1
        self.usual_ms *= 1.0 + _STEP * (_USUAL_SHARE - (pause_ms < self.usual_ms))
        self.long_ms *= 1.0 + _STEP * (_LONG_SHARE - (pause_ms < self.long_ms))


class PauseTimes:
    """Learns the usual and the long pauses of each service's streams; no I/O.

    A node sends to each replica too seldom to learn its pauses before they change with
    the load, so all replicas of a service count together.
    """

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, ServicePauses] = {}

    def on_pause(self, service: str, pause_ms: float, factor: float) -> None:
        """Count a pause at a replica on which work took ``factor`` times as long."""
        if pause_ms < _MIN_PAUSE_MS:
            return
        pause_ms /= factor
        pauses = self._by_service.get(service)
        if pauses is None:
            self._by_service[service] = ServicePauses(pause_ms, pause_ms)
        else:
            pauses.add(pause_ms)

    def of_service(self, service: str) -> ServicePauses | None:
        """Return the pauses of a service's streams, None if too few are known."""
        pauses = self._by_service.get(service)
        return pauses if pauses is not None and pauses.count >= _MIN_PAUSES else None
