"""``fireflyward load``: ask nodes as many good callers would, and check."""

import argparse

from ._common import EXIT_FAILED, EXIT_OK

_KEYS = "bridge-team=key-bridge,tower-team=key-tower"


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "load",
        help="ask nodes as many good callers would, and check every answer",
        description="Sends prompts, streams and non-idempotent calls, drawn from a "
        "seed, to nodes that stand before stand-in engines; asks again after cuts "
        "and refusals as docs/API.md says; holds each answer against the only right "
        "one. Ends with one JSON object; exits 1 if anything was lost, doubled or "
        "mixed. Doubles are seen in answers only; the service's own record is not "
        "read.",
    )
    parser.add_argument("urls", nargs="+", metavar="URL", help="base URL of a node")
    parser.add_argument("--requests", type=int, default=1_000, help="how many")
    parser.add_argument("--callers", type=int, default=16, help="how many at once")
    parser.add_argument("--seed", type=int, default=1, help="what to draw from")
    parser.add_argument(
        "--keys", default=_KEYS, help="account=key of each caller, comma separated"
    )
    parser.add_argument("--model", default="clauses", help="model that is asked")
    parser.add_argument(
        "--versions", default="v1", help="weight versions in force, comma separated"
    )
    parser.add_argument(
        "--service-path",
        default="/services/drafting/revisions",
        help="non-idempotent route that is called; empty for none",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the load and print its report."""
    import asyncio

    import msgspec

    from fireflyward.load import LoadPlan, LoadRun

    plan = LoadPlan(
        options.seed,
        options.requests,
        dict(pair.split("=", 1) for pair in options.keys.split(",")),
        options.model,
        tuple(options.versions.split(",")),
        options.service_path,
    )
    urls = [url.rstrip("/") for url in options.urls]
    report = asyncio.run(LoadRun(plan, urls, callers=options.callers).run())
    print(msgspec.json.encode(report).decode())
    return EXIT_OK if report.is_clean else EXIT_FAILED
