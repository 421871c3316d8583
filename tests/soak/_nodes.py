"""Fleet nodes as processes, ended and paused only by their own pids."""

import asyncio
import os
import random
import signal
import socket
import sys
from pathlib import Path

import aiohttp

from tests.platform_standins import settings_text

_PORTS = (12_000, 30_000)


class NodeProcess:
    """One ``python -m fireflyward.fleet``; its links lead through proxies."""

    def __init__(self, name, folder, store_address, zone):
        self.name = name
        self.ports = _free_ports(3)
        self.is_planned_stop = False
        self._folder = Path(folder)
        self._store_address = store_address
        self._zone = zone
        self._process = None

    @property
    def url(self):
        return f"http://127.0.0.1:{self.ports[0]}"

    @property
    def log(self):
        return self._folder / f"{self.name}.log"

    async def start(self):
        path = self._folder / f"{self.name}.json"
        names = {"node-name": self.name, "zone": self._zone}
        path.write_text(settings_text(self._store_address, self.ports, **names))
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

    async def ended(self):
        """Wait for the end; return the code."""
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

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.ended()


def _free_ports(count):
    """Return ports for a node, each with the one above it free for its metrics.

    They lie below the range from which outgoing connections take theirs, so that a
    node that is down does not lose them to a caller.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*_PORTS, 2)
        if port not in ports and _is_free(port) and _is_free(port + 1):
            ports.append(port)
    return ports


def _is_free(port):
    with socket.socket() as item:
        try:
            item.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
