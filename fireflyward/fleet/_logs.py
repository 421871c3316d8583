"""Writes structured log lines to standard output without blocking the process."""

import logging
import os

import msgspec

from fireflyward.clock import Clock

# Above this rate only warnings and errors are written. A full pipe and the processor
# time of logging must not add to the callers' latency at peak load.
_MAX_LINES_PER_SECOND = 60
_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {
    "message",
    "asctime",
}


class LineHandler(logging.Handler):
    """Writes one JSON object per line; counts the lines that it must drop."""

    def __init__(self, descriptor: int, *, clock: Clock) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now_ms = self._clock.now_ms()
        if now_ms // 1_000 != self._second:
            self._second, self._lines = now_ms // 1_000, 0
        self._lines += 1
        if self._lines > _MAX_LINES_PER_SECOND and record.levelno < logging.WARNING:
            self._dropped += 1
            return
        self._write(self._line(record, now_ms))

    def _line(self, record: logging.LogRecord, now_ms: int) -> bytes:
        part, _, message = record.getMessage().partition(": ")
        line = {"ms": now_ms, "level": record.levelname.lower(), "part": part}
        line["message"] = message
        line |= _extra(record)
        if record.exc_info:
            line["error"] = logging.Formatter().formatException(record.exc_info)
        if self._dropped:
            line["dropped_before"] = self._dropped
        return msgspec.json.encode(line) + b"\n"

    def _write(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
            self._dropped = 0
        except OSError:
            # The reader is slower than this process. The next line reports how many
            # lines were dropped before it.
            self._dropped += 1


def _extra(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields that were logged beside the message, without empty ones."""
    extra = {
        key: item
        for key, item in record.__dict__.items()
        if key not in _STANDARD_ATTRIBUTES
    }
    extra |= extra.pop("fields", {})
    return {key: item for key, item in extra.items() if item not in ("", None)}


def set_up_logging(clock: Clock) -> None:
    """Send the package's logs to standard output as JSON lines."""
    logger = logging.getLogger("fireflyward")
    logger.handlers[:] = [LineHandler(1, clock=clock)]
    logger.setLevel(logging.INFO)
    logger.propagate = False
