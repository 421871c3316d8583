"""``fireflyward standins``: what a node needs around it, as one process."""

import argparse

from ._common import EXIT_OK


def add(commands) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "standins",
        help="run stand-ins of the platform and of upstreams, to try a node against",
        description="Starts a stand-in platform, engines and a plain service on "
        "loopback, accepts a first bundle signed by two made-up people, and prints "
        "the command that starts a node against them. For trials only.",
    )
    parser.add_argument(
        "--engines", type=int, default=2, help="engines in each failure domain"
    )
    parser.add_argument(
        "--port", type=int, default=8490, help="first port; 0 draws free ones"
    )
    parser.add_argument(
        "--no-bundle", action="store_true", help="accept no first bundle; yours will be"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve stand-ins until a signal."""
    import asyncio

    asyncio.run(_serve(options))
    return EXIT_OK


async def _serve(options: argparse.Namespace) -> None:
    import asyncio
    import signal

    from fireflyward.demo import DemoDeployment, node_command

    stop_asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_asked.set)
    deployment = DemoDeployment(
        nodes_per_domain=0,
        engines_per_domain=options.engines,
        first_port=options.port,
        accepts_bundle=not options.no_bundle,
    )
    async with deployment:
        print("stand-ins run; start a node against them with:\n", flush=True)
        print(node_command(deployment), flush=True)
        await stop_asked.wait()
