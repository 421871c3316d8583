"""A node process whose replicas answer without end, and other callers beside it.

    python -m tests.fleet.endless_run

prints for each kind of response the peak memory of the node, the 95th percentile of
the others' times before and meanwhile, the largest number of bytes of a connection, and
the callers' answers.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from tests.platform_standins import (
    ENDLESS,
    EndlessReplica,
    Operator,
    ReplicaStandIn,
    StoreStandIn,
)
from tests.soak._nodes import NodeProcess

from .node_fixtures import KEY, STREAM

MEMORY_MB = 150
CONNECTIONS = 10
_TIMEOUT_MS = 15_000
_READY_S = 30
_KIB_PER_MB = 1_024
_SLOTS = 64
_OTHERS = 4
_PAUSE_S = 0.02
# The node reads of the new replica within this time.
_CALM_S = 2.0


class EndlessResult:
    """What was seen while one kind of response was sent."""

    def __init__(self, kind):
        self.kind = kind
        self.peak_mb = 0.0
        self.statuses = Counter()
        self.other_statuses = Counter()
        self.calm_ms = []
        self.busy_ms = []
        self.sent_bytes = []
        self.executed = 0

    def __str__(self):
        calm, busy = _p95(self.calm_ms), _p95(self.busy_ms)
        sent_mb = max(self.sent_bytes, default=0) / 1e6
        return (
            f"{self.kind.name:20} {self.peak_mb:6.1f} MB  p95 {calm:5.1f} {busy:6.1f} "
            f"ms  {sent_mb:6.1f} MB sent  {dict(self.statuses)}  "
            f"others {dict(self.other_statuses)}"
        )


class EndlessRun:
    """One node; endless replicas and sound ones serve different routes."""

    def __init__(self, folder):
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.sound = [ReplicaStandIn("sound-1"), ReplicaStandIn("sound-2")]
        self.folder = Path(folder)
        self.node = None
        self.result = None

    async def start(self):
        await self.store.start()
        for replica in self.sound:
            await replica.start()
            self._list(replica, "sound")
        for route in self.operator.configuration["routes"]:
            route["timeout-ms"] = _TIMEOUT_MS
            if route["name"] == "safe":
                route["service"] = "sound"
        services = self.operator.configuration["services"]
        services.append({**services[0], "name": "sound"})
        self.operator.configure()
        self.node = NodeProcess(
            "entry-1",
            self.folder,
            self.store.address,
            "a",
            limits={"memory-mb": MEMORY_MB, "link-mbps": 1000.0},
        )
        await self.node.start()
        async with asyncio.timeout(_READY_S):
            while not await self.node.is_ready():
                await asyncio.sleep(0.05)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=2 * _TIMEOUT_MS / 1_000),
        )

    async def stop(self):
        await self.session.close()
        await self.node.kill()
        for server in (*self.sound, self.store):
            await server.stop()

    async def play(self, kind):
        """Return what is seen while ten responses of a kind arrive at once."""
        result = self.result = EndlessResult(kind)
        replica = EndlessReplica(
            f"e-{kind.name}", model="m" if kind.is_stream else None
        )
        replica.kind = kind
        await replica.start()
        self._list(replica, "engines" if kind.is_stream else "plain")
        others = [asyncio.create_task(self._call_others()) for _ in range(_OTHERS)]
        watching = asyncio.create_task(self._watch_memory())
        await asyncio.sleep(_CALM_S)
        result.calm_ms, result.busy_ms = result.busy_ms, result.calm_ms
        window = asyncio.create_task(asyncio.sleep(_CALM_S))
        calls = [self._call(kind, number) for number in range(CONNECTIONS)]
        result.statuses.update(await asyncio.gather(*calls))
        await window
        for task in (*others, watching):
            task.cancel()
        await asyncio.gather(*others, watching, return_exceptions=True)
        result.executed = len(replica.executed_requests)
        result.sent_bytes = list(replica.sent_bytes)
        self.store.remove("servers", replica.incarnation)
        await replica.stop()
        return result

    def _list(self, replica, service):
        entry = json.loads(replica.entry(service))
        entry["slots"] = _SLOTS
        self.store.put("servers", replica.incarnation, json.dumps(entry).encode())

    async def _call(self, kind, number):
        path, headers = ("/s/x", STREAM) if kind.is_stream else ("/w/x", KEY)
        headers = {**headers, "X-Deadline-Ms": str(_TIMEOUT_MS)}
        if kind.is_stream:
            # Parts that other requests share would be held back after three failures.
            first_part = 16 * (1 + ENDLESS.index(kind))
            headers["X-Prompt-Prefix"] = (
                f"{first_part:x}:500,{first_part + number:x}:400"
            )
        name = f"{kind.name}-{number}"
        try:
            return await self._fetch("POST", path, name, headers, body=name.encode())
        except aiohttp.ClientPayloadError:
            return "broken off"
        except aiohttp.ClientError as error:
            return type(error).__name__

    async def _call_others(self):
        number = 0
        while True:
            number += 1
            begun_s = time.monotonic()
            name = f"o{id(asyncio.current_task())}-{number}"
            try:
                status = await self._fetch("GET", "/r/x", name, KEY)
            except aiohttp.ClientError as error:
                status = type(error).__name__
            self.result.other_statuses[status] += 1
            self.result.busy_ms.append((time.monotonic() - begun_s) * 1_000)
            await asyncio.sleep(_PAUSE_S)

    async def _fetch(self, method, path, request_id, headers, body=b""):
        headers = {**headers, "Host": "h.example", "X-Request-Id": request_id}
        async with self.session.request(
            method, self.node.url + path, headers=headers, data=body
        ) as response:
            async for _ in response.content.iter_any():
                pass
            return response.status

    async def _watch_memory(self):
        status = Path(f"/proc/{self.node.pid}/status")
        while True:
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    mb = int(line.split()[1]) / _KIB_PER_MB
                    self.result.peak_mb = max(self.result.peak_mb, mb)
            await asyncio.sleep(0.01)


def _p95(times_ms):
    ordered = sorted(times_ms) or [0.0]
    return ordered[int(len(ordered) * 0.95) - 1]


async def main():
    with tempfile.TemporaryDirectory() as folder:
        run = EndlessRun(folder)
        await run.start()
        try:
            for kind in ENDLESS:
                print(await run.play(kind), flush=True)
        finally:
            await run.stop()
            lines = run.node.log.read_text().splitlines()
            print(sum("limit" in line for line in lines), "log lines name a limit")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
