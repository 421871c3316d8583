"""``fireflyward serve``: runs one entry VM's node."""

import argparse

from fireflyward._held_signals import HELD_SIGNALS
from fireflyward.settings import SERVE_SETTINGS, add_flags

from ._common import (
    EXIT_BROKEN,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    load_settings,
    print_error,
)


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "serve",
        help="run one entry VM's node",
        description="Runs one node until SIGTERM; it then stops without cutting a "
        "request. Every entry VM runs this same command.",
    )
    add_flags(parser, SERVE_SETTINGS)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until a signal arrives."""
    settings = load_settings(options)
    if settings is None:
        return EXIT_USAGE
    import asyncio

    from fireflyward.daemon import serve
    from fireflyward.observe import set_up_logs
    from fireflyward.supervision import CannotListen, open_standard_streams

    open_standard_streams()
    set_up_logs(settings["log_level"], settings["log_format"])
    try:
        stopped_as_planned = asyncio.run(serve(settings, HELD_SIGNALS))
    except (CannotListen, OSError, ValueError) as error:
        print_error(f"cannot serve: {error}")
        return EXIT_FAILED
    return EXIT_OK if stopped_as_planned else EXIT_BROKEN
