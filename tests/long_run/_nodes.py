"""Node processes, which are killed, paused and restarted by their pids only."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

import aiohttp

from fireflyward.demo import DOMAINS

_READY_POLL_S = 0.1
_HOST = "127.0.0.1"


class NodeProcess:
    """One ``fireflyward serve`` process on fixed ports."""

    def __init__(self, deployment, index: int, log: Path) -> None:
        self.name = f"entry-{index + 1}"
        self.port, self.peer_port = _free_port(), _free_port()
        self.url = f"http://{_HOST}:{self.port}"
        self.peers: list[NodeProcess] = []
        self._deployment = deployment
        self._domain = DOMAINS[index % len(DOMAINS)]
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        flags = self._deployment.flag_values(self.name, self._domain) | {
            "port": str(self.port),
            "peer_port": str(self.peer_port),
            "peers": ",".join(f"{_HOST}:{peer.peer_port}" for peer in self.peers),
            "balancer_wait_ms": "500",
            "rollout_watch_ms": "500",
            "log_level": "warning",
        }
        arguments = [
            argument
            for name, value in flags.items()
            for argument in (f"--{name.replace('_', '-')}", value)
        ]
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "fireflyward", "serve", *arguments),
                stdout=log,
                stderr=log,
            )
        while not await self.is_ready():
            if self._process.returncode is not None:
                raise RuntimeError(f"{self.name} exited; see {self._log}")
            await asyncio.sleep(_READY_POLL_S)

    async def is_ready(self) -> bool:
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(f"{self.url}/readyz") as response:
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self._process.send_signal(number)

    async def wait_for_exit(self) -> int:
        """Wait until the process exits and return its exit code."""
        return await self._process.wait()

    async def close(self) -> None:
        if self._process and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def rss_mb(self) -> float:
        """Return the resident memory of the process."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
        return int(line.split()[1]) / 1_024


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return probe.getsockname()[1]
