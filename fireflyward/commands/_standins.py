"""``fireflyward standins``: runs the platform's and upstreams' stand-ins."""

import argparse

from ._common import EXIT_OK


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "standins",
        help="run stand-ins for the platform and upstreams, to try out a node",
        description="Starts a stand-in platform, engines and a plain service on "
        "loopback, accepts a first bundle signed by two invented people, and prints "
        "the command that starts a node against them. For trials only.",
    )
    parser.add_argument(
        "--engines", type=int, default=2, help="engines in each failure domain"
    )
    parser.add_argument(
        "--port", type=int, default=8490, help="first port; 0 chooses free ones"
    )
    parser.add_argument(
        "--no-bundle",
        action="store_true",
        help="accept no first bundle, so that yours is the first",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the stand-ins until a signal arrives."""
    import asyncio

    asyncio.run(_serve(options))
    return EXIT_OK


async def _serve(options: argparse.Namespace) -> None:
    import asyncio
    import signal

    from fireflyward.demo import DemoDeployment, node_command

    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    deployment = DemoDeployment(
        nodes_per_domain=0,
        engines_per_domain=options.engines,
        first_port=options.port,
        accepts_bundle=not options.no_bundle,
    )
    async with deployment:
        print(
            "the stand-ins are running; start a node against them with:\n", flush=True
        )
        print(node_command(deployment), flush=True)
        await stop_requested.wait()
