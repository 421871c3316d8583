"""What the subcommands share."""

import argparse
import os
import sys

from fireflyward.settings import SERVE_SETTINGS, Setting, Settings, load

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_BROKEN = 3


def load_settings(
    options: argparse.Namespace, declared: tuple[Setting, ...] = SERVE_SETTINGS
) -> Settings | None:
    """Check the settings of a node; print every refusal and return None if any."""
    result = load(declared, vars(options), os.environ)
    if isinstance(result, Settings):
        return result
    for refused in result:
        complain(str(refused))
    return None


def complain(text: str) -> None:
    """Write one line to standard error in the command's name."""
    print(f"fireflyward: {text}", file=sys.stderr)
