"""Exit codes and helper functions of the subcommands."""

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
    """Return a node's settings, or print their errors and return None."""
    result = load(declared, vars(options), os.environ)
    if isinstance(result, Settings):
        return result
    for problem in result:
        print_error(str(problem))
    return None


def print_error(text: str) -> None:
    """Print one line to standard error, prefixed with the command's name."""
    print(f"fireflyward: {text}", file=sys.stderr)
