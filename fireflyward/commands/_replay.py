"""``fireflyward replay``: compares policies on a day's prompts, in one table."""

import argparse
import sys

from ._common import EXIT_OK

_COLUMNS = "{:<24} {:>10} {:>9} {:>9} {:>9} {:>8} {:>8}"


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "replay",
        help="compare policies on a day's prompts that return after long gaps",
        description="Draws a deployment's prompts from a seed and replays them in "
        "simulated time. The counts are the same in each run. A whole day takes a "
        "minute or two for each policy; --small is for a first look.",
    )
    parser.add_argument("deployment", choices=("andinos", "nota-birlik"))
    parser.add_argument("--seed", type=int, default=1, help="default: 1")
    parser.add_argument("--small", action="store_true", help="the small replay of CI")
    parser.add_argument(
        "--policy",
        action="append",
        metavar="NAME",
        help="a row of the table, such as ours or least-loaded; default: all rows",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument("--plot", metavar="FILE", help="also draw the table")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Replay the chosen rows."""
    import msgspec

    from fireflyward.workloads import Policy, Setting, replay, table_row, workload

    from ._common import EXIT_USAGE, print_error

    row_by_name = {str(row): row for row in (*Policy, *Setting)}
    names = options.policy or list(row_by_name)
    unknown = [name for name in names if name not in row_by_name]
    if unknown:
        print_error(f"unknown policy {unknown[0]!r}; known: {', '.join(row_by_name)}")
        return EXIT_USAGE
    load = workload(options.deployment, is_small=options.small)
    prompts = load.prompts(options.seed)
    if not options.json:
        _print_header()
    rows = []
    for name in names:
        result = replay(load, prompts, row_by_name[name], options.seed)
        rows.append(table_row(name, result))
        if not options.json:
            _print_row(rows[-1])
    if options.json:
        table = {"deployment": options.deployment, "seed": options.seed, "rows": rows}
        print(msgspec.json.encode(table).decode())
    if options.plot:
        from fireflyward.workloads import draw_table

        draw_table(options.deployment, rows, options.plot)
    return EXIT_OK


def _print_header() -> None:
    print(
        _COLUMNS.format(
            "policy", "recomputed", "p50 ms", "p95 ms", "p99 ms", "link TB", "prompts"
        )
    )


def _print_row(row: dict) -> None:
    shown = _COLUMNS.format(
        row["policy"],
        f"{row['recomputed_share']:.4f}",
        f"{row['first_token_p50_ms']:.0f}",
        f"{row['first_token_p95_ms']:.0f}",
        f"{row['first_token_p99_ms']:.0f}",
        f"{row['link_terabytes']:.2f}",
        row["prompts"],
    )
    print(shown)
    sys.stdout.flush()
