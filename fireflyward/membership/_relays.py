"""Probes that this node sends for others, and defences of its own name."""

from dataclasses import dataclass

_DEFENCES_FOR_ALARM = 3
_DEFENCE_WINDOW_MS = 60_000


@dataclass(frozen=True, slots=True)
class Relay:
    """Whose probe this node passed on, and under which number of theirs."""

    requester: str
    number: int
    until_ms: int


class Relays:
    """The probes for others whose answer is still waited for."""

    __slots__ = ("_limit_ms", "_relay_by_number")

    def __init__(self, limit_ms: int) -> None:
        self._limit_ms = limit_ms
        self._relay_by_number: dict[int, Relay] = {}

    def put(self, now_ms: int, own_number: int, requester: str, number: int) -> None:
        """Remember a probe for another, and drop those that lapsed."""
        self._relay_by_number = {
            known: relay
            for known, relay in self._relay_by_number.items()
            if relay.until_ms > now_ms
        }
        relay = Relay(requester, number, now_ms + self._limit_ms)
        self._relay_by_number[own_number] = relay

    def take(self, own_number: int) -> Relay | None:
        """Return for whom an answered probe was, None if for this node itself."""
        return self._relay_by_number.pop(own_number, None)


class NameWatch:
    """Notices that two nodes were given one name: each keeps outbidding."""

    __slots__ = ("_defences_ms",)

    def __init__(self) -> None:
        self._defences_ms: list[int] = []

    def on_defence(self, now_ms: int) -> bool:
        """Note a defence against another address; return if it means an alarm."""
        since_ms = now_ms - _DEFENCE_WINDOW_MS
        self._defences_ms = [at for at in self._defences_ms if at > since_ms]
        self._defences_ms.append(now_ms)
        if len(self._defences_ms) < _DEFENCES_FOR_ALARM:
            return False
        self._defences_ms.clear()
        return True
