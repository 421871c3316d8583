"""Server-sent events, cut out of a stream whole or not at all."""

from dataclasses import dataclass

_END = b"\n\n"
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event with its bytes as they came; ``number`` is its id."""

    data: bytes
    number: int | None


class EventSplitter:
    """Gives out whole events; what a broken stream leaves behind is dropped.

    A replica that stops in the middle of an event must not leave half of it with
    the caller: another replica then goes on after the last whole one.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")]
    [1]
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; return the events that they complete."""
        parts = (self._rest + data).split(_END)
        self._rest = parts.pop()
        return [StreamEvent(part + _END, _number(part)) for part in parts]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            return int(value) if value.isdigit() else None
    return None
