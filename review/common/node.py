"""A node of the fleet as a process, started as the deploy file says."""

import asyncio
import json
import os
import shlex
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
_KIB_PER_MIB = 1_024
_READY_TIMEOUT_S = 30

# The settings that DEPLOY.md shows, with the figures of notabirlik-ist.
SETTINGS = {
    "role": "entry",
    "machine-class": "edge",
    "serves": ["edge"],
    "ip": "127.0.0.1",
    "region": "tr-marmara",
    "zones": {
        "ikitelli-a": "tr-marmara",
        "ikitelli-b": "tr-marmara",
        "gebze-1": "tr-marmara",
        "kartal-1": "tr-marmara",
    },
    "seeds": [],
    "bootstrap": True,
    "in-tolerance": False,
    "limits": {
        "cpu-share": 0.537,
        "cpu-cores": 2,
        "memory-mb": 150,
        "max-fds": 4100,
        "link-mbps": 1000.0,
        "disk-mb": 0,
    },
    "data-dir": None,
    "discovery": "platform",
    "entry": "vip",
    "heartbeat-ms": 1200,
    "contracts": [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "kvcache",
        "stream",
        "engine",
        "tenants",
        "platform",
    ],
    "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
    "bounds": {
        "seed-lag-s": 3,
        "reuse-after-s": 2,
        "contact-ms": 3000,
        "ack-timeout-ms": 4000,
        "catch-up-s": 4,
        "drain-ms": 2000,
        "grace-s": 8,
        "lost-slack-ms": 200,
        "config-apply-ms": 2000,
        "rollback-slack-ms": 250,
        "max-stretch-ms": 5000,
        "fail-closed": True,
        "revoke-ms": 5000,
        "retry-budget-ratio": 0.2,
        "budget-window-s": 10,
        "budget-extra": 56,
        "recovery-s": 12,
        "transit-ms": 120,
        "reuse-window-s": 20,
        "require-fencing": False,
        "lease-ms": 3000,
        "thaw-slack-ms": 300,
        "version-ms": 12000,
        "version-all-ms": 17000,
    },
    "platform": {
        "form": "table",
        "writes-per-s": 400,
        "reads-per-s": 2000,
        "tx-ms": 5.0,
        "append-per-s": 200,
        "row-bytes": 65536,
        "across": False,
        "history-s": 20,
        "blob-bytes": 8388608,
        "blob-ms": 25.0,
        "blob-per-s": 80.0,
    },
}


class Node:
    """One ``python3 -m fireflyward.fleet`` process on loopback addresses."""

    def __init__(self, name, zone, folder, store_address):
        self.name = name
        self._folder = Path(folder)
        self.callers_port, self.readiness_port, peer_port = _free_ports()
        settings = json.loads(json.dumps(SETTINGS))
        settings["node-name"] = name
        settings["zone"] = zone
        settings["listen"] = {
            "front": f"127.0.0.1:{self.callers_port}",
            "readiness": f"127.0.0.1:{self.readiness_port}",
        }
        settings["internal-ports"] = [peer_port, peer_port + 15]
        settings["platform"]["address"] = store_address
        self._path = self._folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FIREFLYWARD_BOOT"] = str(self._path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self):
        """Wait for a 200 at the readiness address."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.readiness_port
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def memory_mib(self):
        """Return the resident memory, 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / _KIB_PER_MIB
        return 0

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _free_ports():
    """Return three free ports; the one above the third is free too."""
    while True:
        probes = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        ports = [probe.getsockname()[1] for probe in probes]
        for probe in probes:
            probe.close()
        if _is_free(ports[2] + 1) and ports[2] + 1 not in ports:
            return ports


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
