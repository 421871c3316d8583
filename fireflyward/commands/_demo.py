"""``fireflyward demo``: runs the complete system in one process."""

import argparse

from ._common import EXIT_FAILED, EXIT_OK


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "demo",
        help="run the complete system, with stand-ins, in one process",
        description="Starts stand-ins and nodes, serves prompts during failures, and "
        "reports what was reused. Exits 1 if an answer was lost, duplicated or mixed "
        "up.",
    )
    parser.add_argument(
        "--json", action="store_true", help="end with one JSON object on the last line"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the demo until it is complete."""
    import asyncio

    from fireflyward.demo import run_demo

    return EXIT_OK if asyncio.run(run_demo(as_json=options.json)) else EXIT_FAILED
