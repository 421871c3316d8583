"""Splits a stream into complete server-sent events."""

from dataclasses import dataclass

_SEPARATOR = b"\n\n"
_ID_PREFIX = b"id:"
# A longer id would make all later events seem to be repeated.
_MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event with its bytes as received; ``number`` is its id."""

    data: bytes
    number: int | None


class EventSplitter:
    """Returns complete events only; the incomplete end of a broken stream is dropped.

    ``events`` and ``received_bytes`` count what the stream consists of so far.

    If a replica fails in the middle of an event, the caller must not receive half of
    it: another replica then continues the stream after the last complete event.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")]
    [1]
    """

    __slots__ = ("_buffer", "_searched_bytes", "events", "received_bytes")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # No event ends before this position of the buffer.
        self._searched_bytes = 0
        self.events = 0
        self.received_bytes = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the last event, which is not complete yet."""
        return bytes(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """Return the size of the last event so far."""
        return len(self._buffer)

    def feed(
        self, data: bytes = b"", *, max_events: int | None = None
    ) -> list[StreamEvent]:
        """Add received bytes; return the events that they complete.

        With ``max_events`` the next call returns further ones, also without bytes.
        """
        self.received_bytes += len(data)
        if not self._buffer and 0 <= data.find(_SEPARATOR) == len(data) - 2:
            # Most parts are one event.
            self.events += 1
            return [StreamEvent(data, _number(data))]
        buffer: bytes | bytearray = data
        if self._buffer:
            self._buffer += data
            buffer = self._buffer
        events: list[StreamEvent] = []
        begin, searched = 0, self._searched_bytes
        while max_events is None or len(events) < max_events:
            found = buffer.find(_SEPARATOR, searched)
            if found < 0:
                searched = len(buffer) - len(_SEPARATOR) + 1
                break
            event = bytes(buffer[begin : found + len(_SEPARATOR)])
            events.append(StreamEvent(event, _number(event)))
            begin = searched = found + len(_SEPARATOR)
        self._searched_bytes = max(0, searched - begin)
        if buffer is data:
            self._buffer += data[begin:]
        else:
            del self._buffer[:begin]
        self.events += len(events)
        return events


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            value = line[len(_ID_PREFIX) :].strip()
            is_number = value.isdigit() and len(value) <= _MAX_ID_DIGITS
            return int(value) if is_number else None
    return None
