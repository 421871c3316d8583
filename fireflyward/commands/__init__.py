"""The subcommands of ``fireflyward``, one module each.

Each module has a function ``add(commands)``, which adds a parser and sets its
default ``run``: a function that gets the parsed options and returns an exit code.
Slow imports are made inside ``run``, so that ``fireflyward --help`` is fast.
"""

from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_USAGE"]
