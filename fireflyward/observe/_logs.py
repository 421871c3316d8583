"""Log output as text or JSON; each message starts with the prefix of its package."""

import logging
import sys

import msgspec

# Marks a record of a single request, ``log.info(..., extra={**PER_REQUEST})``. Only the
# number of these grows with the load, so a handler may drop some of them.
PER_REQUEST = {"is_per_request": True}
# The same for a request whose outcome rests on what a replica said of it. These are
# rarer, and are dropped apart from the others.
PROOF = {**PER_REQUEST, "is_proof": True}
_EXTRA_FIELDS = ("request", "account", "upstream", "bundle")


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON line with its request, account, upstream, bundle."""

    def format(self, record: logging.LogRecord) -> str:
        line = {
            "at": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "part": record.name.removeprefix("fireflyward."),
            "message": record.getMessage(),
        }
        for name in _EXTRA_FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def set_up_logs(level: str, log_format: str) -> None:
    """Write the package's logs to standard error; ``log_format`` is text or json."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logger = logging.getLogger("fireflyward")
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
