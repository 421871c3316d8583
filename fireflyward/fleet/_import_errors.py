"""Logs that the program cannot be imported; needs nothing but the standard library."""

import json
import time
import traceback

_MS_PER_S = 1_000


def log_import_error(error: Exception) -> None:
    """Write a line in the format of the log, which itself needs other libraries."""
    line = {
        "ms": int(time.monotonic() * _MS_PER_S),
        "level": "critical",
        "part": "process",
        "message": f"ends with status 1: cannot be imported: {error}",
        "error": "".join(traceback.format_exception(error)),
    }
    print(json.dumps(line), flush=True)
