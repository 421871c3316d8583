"""The subcommands of ``fireflyward``, one module each.

A module has ``add(commands)``, which gives its parser to argparse and sets
``run``: a function of the parsed options that returns an exit code. Heavy imports
stay inside ``run``, so that ``fireflyward --help`` answers at once.
"""

from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_USAGE"]
