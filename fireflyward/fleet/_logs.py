"""Writes structured log lines to standard output without blocking the process."""

import json
import logging
import os
from collections import Counter, deque

import msgspec

from fireflyward.clock import Clock
from fireflyward.observe import PROOF

# Lines of single requests above this rate are dropped, and those of requests whose
# outcome rests on a proof above the same rate again. A full pipe and the processor time
# of logging must not add to the callers' latency at peak load.
_MAX_REQUEST_LINES_PER_SECOND = 60
# Other lines that a full pipe did not accept, until it does.
_MAX_WAITING_LINES = 2_000
_MAX_INT_BITS = 64
_STANDARD_ATTRIBUTES = (
    frozenset(logging.makeLogRecord({}).__dict__)
    | {"message", "asctime"}
    | PROOF.keys()
)


class LineHandler(logging.Handler):
    """Writes one JSON object per line; counts the lines that it must drop.

    Only lines of single requests are dropped, apart from warnings and errors. All other
    lines, such as changes of what the node believes, are written at any rate. If the
    pipe is full they wait, and the next line is written after them.
    """

    def __init__(self, descriptor: int, *, clock: Clock) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._second = 0
        # The lines of this second by whether they are about a proof.
        self._lines: Counter[bool] = Counter()
        self._dropped = 0
        self._waiting: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now_ms = self._clock.now_ms()
        if now_ms // 1_000 != self._second:
            self._second = now_ms // 1_000
            self._lines.clear()
        may_drop = _is_per_request(record)
        if may_drop:
            is_proof = hasattr(record, "is_proof")
            self._lines[is_proof] += 1
            if self._lines[is_proof] > _MAX_REQUEST_LINES_PER_SECOND:
                self._dropped += 1
                return
        self._write(self._line(record, now_ms), may_drop=may_drop)

    def _line(self, record: logging.LogRecord, now_ms: int) -> bytes:
        part, _, message = record.getMessage().partition(": ")
        line = {"ms": now_ms, "level": record.levelname.lower(), "part": part}
        line["message"] = message
        line |= _extra(record)
        if record.exc_info:
            line["error"] = logging.Formatter().formatException(record.exc_info)
        if self._dropped:
            line["dropped_before"] = self._dropped
        return _encode(line) + b"\n"

    def _write(self, line: bytes, *, may_drop: bool) -> None:
        while self._waiting and self._try_write(self._waiting[0]):
            self._waiting.popleft()
        if not self._waiting and self._try_write(line):
            self._dropped = 0
        elif may_drop or len(self._waiting) >= _MAX_WAITING_LINES:
            # The next line reports how many lines were dropped before it.
            self._dropped += 1
        else:
            self._waiting.append(line)
            self._dropped = 0

    def _try_write(self, line: bytes) -> bool:
        """Write a line, unless the reader is slower than this process."""
        try:
            os.write(self._descriptor, line)
        except OSError:
            return False
        return True


def _encode(line: dict[str, object]) -> bytes:
    """Encode a line; items that JSON cannot carry are written as Python shows them."""
    try:
        return msgspec.json.encode(line)
    except (TypeError, ValueError, ArithmeticError, RecursionError):
        shown = {key: _shown(item) for key, item in line.items()}
        return json.dumps(shown).encode()


def _shown(item: object) -> int | str:
    if isinstance(item, str):
        return item.encode("ascii", "backslashreplace").decode()
    if isinstance(item, int):
        is_long = item.bit_length() > _MAX_INT_BITS
        return f"integer of {item.bit_length()} bits" if is_long else item
    return ascii(item)


def _is_per_request(record: logging.LogRecord) -> bool:
    return record.levelno < logging.WARNING and hasattr(record, "is_per_request")


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
