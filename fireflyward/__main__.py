"""The ``fireflyward`` command."""

import argparse
import os
import sys
from collections.abc import Sequence

from fireflyward import __version__
from fireflyward.settings import SERVE_SETTINGS, Settings, add_flags, load

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
_DESCRIPTION = (
    "Serves prompts whose callers come back after long gaps. "
    "Operators drive it only through signed bundles."
)
_EXIT_CODES = "Exit codes: 0 done; 1 tried and failed; 2 refused before anything began."


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    options = _build_parser().parse_args(arguments)
    return options.run(options)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fireflyward", description=_DESCRIPTION, epilog=_EXIT_CODES
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_serve(commands)
    _add_settings(commands)
    _add_demo(commands)
    _add_bench(commands)
    return parser


def _add_serve(commands) -> None:
    serve = commands.add_parser(
        "serve",
        help="run one entry VM's node",
        description="Runs one node until SIGTERM, which it obeys without cutting "
        "a request. Every entry VM runs this same command.",
    )
    add_flags(serve, SERVE_SETTINGS)
    serve.set_defaults(run=_run_serve)


def _add_settings(commands) -> None:
    settings = commands.add_parser(
        "settings",
        help="print the settings in force and where each comes from",
        description="Checks flags and variables as serve would, and prints them.",
    )
    add_flags(settings, SERVE_SETTINGS)
    settings.set_defaults(run=_run_settings)


def _add_demo(commands) -> None:
    demo = commands.add_parser(
        "demo",
        help="see the whole system at work, with stand-ins, in one process",
        description="Starts stand-ins and nodes, serves prompts through losses, and "
        "tells what was reused. Exits 1 if anything was lost, doubled or mixed.",
    )
    demo.add_argument(
        "--json", action="store_true", help="end with one JSON object on the last line"
    )
    demo.set_defaults(run=_run_demo)


def _add_bench(commands) -> None:
    bench = commands.add_parser(
        "bench",
        help="measure, and hold the figures against their bounds",
        description="Runs measurements and prints figure, bound and verdict of each. "
        "Exits 1 if a bound is missed.",
    )
    bench.add_argument("names", nargs="*", help="measurements to run; all by default")
    bench.add_argument("--bounds", default="bounds.toml", help="file of the bounds")
    bench.set_defaults(run=_run_bench)


def _load_settings(options: argparse.Namespace) -> Settings | None:
    result = load(SERVE_SETTINGS, vars(options), os.environ)
    if isinstance(result, Settings):
        return result
    for refused in result:
        print(f"fireflyward: {refused}", file=sys.stderr)
    return None


def _run_serve(options: argparse.Namespace) -> int:
    settings = _load_settings(options)
    if settings is None:
        return EXIT_USAGE
    import asyncio

    from fireflyward.daemon import serve
    from fireflyward.observe import set_up_logs

    set_up_logs(settings["log_level"], settings["log_format"])
    asyncio.run(serve(settings))
    return EXIT_OK


def _run_settings(options: argparse.Namespace) -> int:
    settings = _load_settings(options)
    if settings is None:
        return EXIT_USAGE
    for name, shown, source in settings.rows():
        print(f"{name} = {shown}  ({source})")
    return EXIT_OK


def _run_demo(options: argparse.Namespace) -> int:
    import asyncio

    from fireflyward.demo import run_demo

    return EXIT_OK if asyncio.run(run_demo(as_json=options.json)) else EXIT_FAILED


def _run_bench(options: argparse.Namespace) -> int:
    from pathlib import Path

    from fireflyward.bench import find_benches, load_bounds, run_benches

    bench_by_name = find_benches()
    unknown = sorted(set(options.names) - set(bench_by_name))
    if unknown:
        known = ", ".join(bench_by_name)
        print(f"fireflyward: no bench {unknown[0]!r}; known: {known}", file=sys.stderr)
        return EXIT_USAGE
    benches = [bench_by_name[name] for name in options.names or bench_by_name]
    rows = run_benches(benches, load_bounds(Path(options.bounds)))
    for row in rows:
        bound = f"{row.bound.lowest:g} to {row.bound.highest:g}" if row.bound else "-"
        figure = row.figure
        print(
            f"{figure.name:<52} {figure.value:>12.4g} {figure.unit:<10} "
            f"{bound:<16} {row.verdict}"
        )
    missed = any(row.verdict == "missed" for row in rows)
    return EXIT_FAILED if missed else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
