"""The ``fireflyward`` command."""

import argparse
import importlib
import sys
from collections.abc import Sequence

from fireflyward import __version__

_COMMANDS = (
    "serve",
    "settings",
    "demo",
    "bench",
    "standins",
    "load",
    "replay",
    "bundle",
    "key",
    "rollout",
)
_DESCRIPTION = (
    "Serves prompts whose callers return after long gaps. "
    "Operators configure it only through signed bundles."
)
_EXIT_CODES = (
    "Exit codes: 0 success; 1 failure; 2 wrong usage or settings, nothing was "
    "started; 3 stopped by a broken invariant."
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    options = build_parser().parse_args(arguments)
    return options.run(options)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command and of all its subcommands."""
    parser = argparse.ArgumentParser(
        prog="fireflyward", description=_DESCRIPTION, epilog=_EXIT_CODES
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for name in _COMMANDS:
        module = importlib.import_module(f"fireflyward.commands._{name}")
        module.add(commands)
    return parser


if __name__ == "__main__":
    sys.exit(main())
