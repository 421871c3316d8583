"""Logs: short sentences, each with its part's prefix, as text or JSON."""

import logging
import sys

import msgspec

_FIELDS = ("request", "account", "upstream", "bundle")


class JsonFormatter(logging.Formatter):
    """One JSON object a line, with request, account, upstream and bundle."""

    def format(self, record: logging.LogRecord) -> str:
        line = {
            "at": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "part": record.name.removeprefix("fireflyward."),
            "message": record.getMessage(),
        }
        for name in _FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def set_up_logs(level: str, form: str) -> None:
    """Send the package's logs to standard error in ``form``, text or json."""
    handler = logging.StreamHandler(sys.stderr)
    if form == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logger = logging.getLogger("fireflyward")
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
