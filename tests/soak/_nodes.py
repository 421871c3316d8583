"""Fleet nodes as processes, which are killed and paused by their pids only."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import aiohttp

from tests.platform_standins import settings_text

from ._ports import free_ports

_ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)


class NodeProcess:
    """A ``python -m fireflyward.fleet`` process, connected through proxies."""

    def __init__(self, name, folder, store_address, zone, **settings):
        self.name = name
        self.ports = free_ports(3)
        self.is_planned_stop = False
        self._folder = Path(folder)
        self._store_address = store_address
        self._zone = zone
        self._settings = settings
        self._process = None
        self._may_end = False
        # The exit codes of processes that ended though no signal asked them to.
        self.unexpected_exits = []

    @property
    def url(self):
        return f"http://127.0.0.1:{self.ports[0]}"

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process.returncode is None

    @property
    def log(self):
        return self._folder / f"{self.name}.log"

    async def start(self):
        path = self.write_settings()
        self.is_planned_stop = self._may_end = False
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "fireflyward.fleet"),
                env={**os.environ, "FIREFLYWARD_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.note_unexpected_exit()
        if number in _ENDING_SIGNALS:
            self._may_end = True
        if self._process.returncode is None:
            self._process.send_signal(number)

    def note_unexpected_exit(self):
        """Record the exit code if the process has ended by itself."""
        code = self._process.returncode
        if code is not None and not self._may_end:
            self.unexpected_exits.append(code)
            self._may_end = True

    def write_settings(self, *, share=1.0):
        """Write the settings file, or only the first part of it."""
        changes = {"node-name": self.name, "zone": self._zone, **self._settings}
        text = settings_text(self._store_address, self.ports, **changes)
        path = self._folder / f"{self.name}.json"
        path.write_text(text[: int(share * len(text))])
        return path

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
