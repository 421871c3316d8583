"""``fireflyward load``: sends the requests of many callers and checks the answers."""

import argparse

from ._common import EXIT_FAILED, EXIT_OK

_KEYS = "bridge-team=key-bridge,tower-team=key-tower"


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "load",
        help="send the requests of many well-behaved callers and check every answer",
        description="Sends prompts, streams and non-idempotent calls, drawn from a "
        "seed, to nodes in front of stand-in engines; after cuts and rejections sends "
        "them again as docs/API.md says; compares each answer with the only correct "
        "one. Prints one JSON object at the end; exits 1 if an answer was lost, "
        "duplicated or mixed up. Duplicates are detected in answers only; the "
        "service's own record is not read.",
    )
    parser.add_argument("urls", nargs="+", metavar="URL", help="base URL of a node")
    parser.add_argument(
        "--requests", type=int, default=1_000, help="number of requests"
    )
    parser.add_argument(
        "--callers", type=int, default=16, help="number of concurrent callers"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the requests")
    parser.add_argument(
        "--keys", default=_KEYS, help="account=key of each caller, comma separated"
    )
    parser.add_argument("--model", default="clauses", help="model of the prompts")
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
    """Send the requests and print the report."""
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
