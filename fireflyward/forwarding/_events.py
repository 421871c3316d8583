"""Splits a stream into complete server-sent events."""

from dataclasses import dataclass

_SEPARATOR = b"\n\n"
_ID_PREFIX = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event with its bytes as received; ``number`` is its id."""

    data: bytes
    number: int | None


class EventSplitter:
    """Returns complete events only; the incomplete end of a broken stream is dropped.

    If a replica fails in the middle of an event, the caller must not receive half of
    it: another replica then continues the stream after the last complete event.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")]
    [1]
    """

    __slots__ = ("_incomplete",)

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the last event, which is not complete yet."""
        return self._incomplete

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that they complete."""
        parts = (self._incomplete + data).split(_SEPARATOR)
        self._incomplete = parts.pop()
        return [StreamEvent(part + _SEPARATOR, _number(part)) for part in parts]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            value = line[len(_ID_PREFIX) :].strip()
            return int(value) if value.isdigit() else None
    return None
