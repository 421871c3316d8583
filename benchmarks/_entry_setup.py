"""Starts a real node in its own process in front of an engine at a given URL."""

import asyncio
import sys

from fireflyward.bundles import Bundle, Upstream
from fireflyward.demo import DOMAINS, MODEL, DemoDeployment, node_command

from ._processes import Process, free_port, wait_for_port


def start_node(engine_url: str) -> tuple[Process, int, list[Process]]:
    """Start a node; return its process, its port and the processes that it needs."""
    platform = Process("-m", "benchmarks._entry_setup", engine_url)
    arguments = platform.read_line().split()
    port = free_port()
    node = Process(
        "-m",
        "fireflyward",
        *arguments,
        "--port",
        str(port),
        "--peer-port",
        "0",
        "--log-level",
        "error",
    )
    wait_for_port(port)
    return node, port, [platform]


class _SingleEngineDeployment(DemoDeployment):
    """A platform whose bundle names one engine that runs in another process."""

    def __init__(self, engine_url: str) -> None:
        self._engine_url = engine_url
        super().__init__(nodes_per_domain=0, engines_per_domain=0)

    def make_bundle(self, number: int) -> Bundle:
        bundle = super().make_bundle(number)
        bundle.upstreams["engine-1"] = Upstream(
            "engine", self._engine_url, DOMAINS[0], (MODEL,)
        )
        for name, account in list(bundle.accounts.items()):
            fields = {
                field: getattr(account, field) for field in account.__struct_fields__
            }
            bundle.accounts[name] = type(account)(**fields | {"max_in_flight": 10_000})
        return bundle


async def _serve(engine_url: str) -> None:
    async with _SingleEngineDeployment(engine_url) as deployment:
        command = node_command(deployment).replace("\\\n", "")
        print(command.removeprefix("fireflyward "), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1]))
