"""``fireflyward rollout``: shows the progress of replicas towards the bundle."""

import argparse

from fireflyward.settings import SERVE_SETTINGS, add_flags

from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE, load_settings, print_error

_READ_SETTINGS = tuple(item for item in SERVE_SETTINGS if item.name == "table_url")


def add(commands) -> None:
    """Add the subcommand."""
    rollout = commands.add_parser(
        "rollout",
        help="show the progress of replicas towards the bundle in force",
        description="Shows rollouts. Only bundles change them; no command does.",
    )
    actions = rollout.add_subparsers(required=True, metavar="ACTION")
    status = actions.add_parser(
        "status",
        help="print the rollout's state and, if it is held, the next step",
        description="Reads the table service. Exits 1 if the rollout is held or "
        "the table service is unavailable.",
    )
    status.add_argument("--json", action="store_true", help="print one JSON object")
    add_flags(status, SERVE_SETTINGS)
    status.set_defaults(run=run_status)


def run_status(options: argparse.Namespace) -> int:
    """Print the rollout's state from the table."""
    import asyncio

    import msgspec

    from fireflyward.backing import Unavailable
    from fireflyward.rollout import Phase, status_lines

    settings = load_settings(options, _READ_SETTINGS)
    if settings is None:
        return EXIT_USAGE
    row = asyncio.run(_read_rollout_row(settings["table_url"]))
    if isinstance(row, Unavailable):
        print_error(f"the table service is unavailable: {row.detail}")
        return EXIT_FAILED
    if options.json:
        print(msgspec.json.encode(row).decode())
    else:
        print("\n".join(status_lines(row)))
    return EXIT_FAILED if row.phase == Phase.HELD else EXIT_OK


async def _read_rollout_row(table_url: str):
    import aiohttp

    from fireflyward.backing import HttpTable, Missing, Unavailable
    from fireflyward.connections import UNENCODED
    from fireflyward.rollout import ROLLOUT_KEY, RolloutRow, decode_row

    async with aiohttp.ClientSession(headers=UNENCODED) as session:
        found = await HttpTable(session, table_url).get(ROLLOUT_KEY)
    if isinstance(found, Unavailable):
        return found
    if isinstance(found, Missing):
        return RolloutRow()
    return decode_row(found.value) or Unavailable("the rollout's row is unreadable")
