"""``fireflyward bench``: runs measurements and compares them with bounds."""

import argparse

from ._common import EXIT_FAILED, EXIT_OK, EXIT_USAGE, print_error


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "bench",
        help="run measurements and compare the figures with their bounds",
        description="Runs measurements and prints figure, bound and verdict of each. "
        "Exits 1 if a bound is missed.",
    )
    parser.add_argument("names", nargs="*", help="measurements to run; default: all")
    parser.add_argument("--bounds", default="bounds.toml", help="file of the bounds")
    parser.add_argument(
        "--report", metavar="DIR", help="also write a Markdown report with plots here"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the named measurements."""
    from pathlib import Path

    from fireflyward.bench import find_benches, load_bounds, run_benches

    bench_by_name = find_benches()
    unknown = sorted(set(options.names) - set(bench_by_name))
    if unknown:
        print_error(
            f"unknown measurement {unknown[0]!r}; known: {', '.join(bench_by_name)}"
        )
        return EXIT_USAGE
    benches = [bench_by_name[name] for name in options.names or bench_by_name]
    rows = []
    for row in run_benches(benches, load_bounds(Path(options.bounds))):
        print(_format_row(row), flush=True)
        rows.append(row)
    if options.report:
        from fireflyward.bench import write_report

        write_report(Path(options.report), rows)
    missed = any(row.verdict == "missed" for row in rows)
    return EXIT_FAILED if missed else EXIT_OK


def _format_row(row) -> str:
    figure = row.figure
    return (
        f"{figure.name:<56} {figure.value:>12.4g} {figure.unit:<12} "
        f"{row.bound_text:<16} {row.verdict}"
    )
