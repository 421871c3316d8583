"""Fleet nodes as processes, which are killed and paused by their pids only."""

import asyncio
import atexit
import os
import random
import signal
import socket
import sys
from pathlib import Path

import aiohttp

from tests.platform_standins import settings_text

_PORT_RANGE = (12_000, 30_000)
_BLOCK_PORTS = 500
# The ports of the blocks that this process has taken which no node has yet.
_free = []


class NodeProcess:
    """A ``python -m fireflyward.fleet`` process, connected through proxies."""

    def __init__(self, name, folder, store_address, zone, **settings):
        self.name = name
        self.ports = _free_ports(3)
        self.is_planned_stop = False
        self._folder = Path(folder)
        self._store_address = store_address
        self._zone = zone
        self._settings = settings
        self._process = None

    @property
    def url(self):
        return f"http://127.0.0.1:{self.ports[0]}"

    @property
    def pid(self):
        return self._process.pid

    @property
    def log(self):
        return self._folder / f"{self.name}.log"

    async def start(self):
        path = self._folder / f"{self.name}.json"
        changes = {"node-name": self.name, "zone": self._zone, **self._settings}
        path.write_text(settings_text(self._store_address, self.ports, **changes))
        self.is_planned_stop = False
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "fireflyward.fleet"),
                env={**os.environ, "FIREFLYWARD_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait_for_exit(self):
        """Wait until the process exits and return its exit code."""
        return await self._process.wait()

    async def is_ready(self):
        url = f"http://127.0.0.1:{self.ports[1]}/-/readyz"
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(url) as response:
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait_for_exit()


def _free_ports(count):
    """Return free ports for a node.

    The port above each of them is free too; the node serves metrics there. They lie
    below the ephemeral ports, so that an outgoing connection of a caller does not get
    the port of a node that is down, and in blocks that no other process takes.
    """
    ports = []
    while len(ports) < count:
        if not _free:
            _free.extend(_take_block())
        port = _free.pop()
        if _is_free(port) and _is_free(port + 1):
            ports.append(port)
    return ports


def _take_block():
    """Return the ports of a block; its first port stays bound while this process runs.

    A port that is only probed may be another process's by the time the node starts.
    """
    starts = range(*_PORT_RANGE, _BLOCK_PORTS)
    for first in random.sample(starts, len(starts)):
        owner = socket.socket()
        try:
            owner.bind(("127.0.0.1", first))
        except OSError:
            owner.close()
            continue
        atexit.register(owner.close)
        return list(range(first + 2, first + _BLOCK_PORTS, 2))
    raise OSError("all blocks of ports are taken")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
