"""The ``fireflyward`` command."""

import signal
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

from fireflyward import __version__
from fireflyward._held_signals import HELD_SIGNALS, STOP_SIGNALS, UNUSED_SIGNALS

if TYPE_CHECKING:
    import argparse

_SERVE = "serve"
_COMMANDS = (
    _SERVE,
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
    if arguments is None and sys.argv[1:2] == [_SERVE]:
        return _serve()
    options = build_parser().parse_args(arguments)
    return options.run(options)


def _serve() -> int:
    """Run the subcommand for a node, which handles signals from here to its end."""
    HELD_SIGNALS.hold((*STOP_SIGNALS, *UNUSED_SIGNALS))
    # A program that runs without a terminal is told so by an ignored signal.
    if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:
        HELD_SIGNALS.hold((signal.SIGHUP,))
    try:
        options = build_parser().parse_args()
        return options.run(options)
    finally:
        HELD_SIGNALS.ignore()


def build_parser() -> "argparse.ArgumentParser":
    """Return the parser of the command and of all its subcommands."""
    # These imports take most of the time before a subcommand runs.
    import argparse
    import importlib

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
