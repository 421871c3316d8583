"""Probes that this node relays for others, and detection of duplicate node names."""

from dataclasses import dataclass

_REFUTATIONS_FOR_ALARM = 3
_REFUTATION_WINDOW_MS = 60_000


@dataclass(frozen=True, slots=True)
class Relay:
    """A relayed probe: the node that requested it, and the number it gave the probe."""

    requester: str
    number: int
    expires_ms: int


class Relays:
    """The relayed probes whose answers have not arrived yet."""

    __slots__ = ("_limit_ms", "_relay_by_number")

    def __init__(self, limit_ms: int) -> None:
        self._limit_ms = limit_ms
        self._relay_by_number: dict[int, Relay] = {}

    def add(self, now_ms: int, own_number: int, requester: str, number: int) -> None:
        """Record a relayed probe, and drop those that have expired."""
        self._relay_by_number = {
            own_probe: relay
            for own_probe, relay in self._relay_by_number.items()
            if relay.expires_ms > now_ms
        }
        relay = Relay(requester, number, now_ms + self._limit_ms)
        self._relay_by_number[own_number] = relay

    def pop(self, own_number: int) -> Relay | None:
        """Remove and return the relay of an answered probe, None for an own probe."""
        return self._relay_by_number.pop(own_number, None)


class NameConflictDetector:
    """Detects that two nodes have the same name.

    Each of them keeps raising its incarnation above that of the other.
    """

    __slots__ = ("_refutation_times_ms",)

    def __init__(self) -> None:
        self._refutation_times_ms: list[int] = []

    def on_refutation(self, now_ms: int) -> bool:
        """Record a refutation of a row with another address.

        Returns whether to raise an alarm.
        """
        since_ms = now_ms - _REFUTATION_WINDOW_MS
        self._refutation_times_ms = [
            at for at in self._refutation_times_ms if at > since_ms
        ]
        self._refutation_times_ms.append(now_ms)
        if len(self._refutation_times_ms) < _REFUTATIONS_FOR_ALARM:
            return False
        self._refutation_times_ms.clear()
        return True
