"""The resident memory of a node process under load, printed as it changes.

    python -m tests.fleet.memory_run connections
    python -m tests.fleet.memory_run streams
    python -m tests.fleet.memory_run bursts [CALLERS] [BYTES]
    python -m tests.fleet.memory_run steady [SECONDS]

``steady`` sends requests whose ids, bodies, prompts and keys are all new, while
replicas come and go, and prints the memory every 10 s. It is run by hand.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from tests.platform_standins import Operator, ReplicaStandIn, StoreStandIn
from tests.soak._nodes import NodeProcess

MEMORY_MB = 150
_READY_S = 30
_KIB_PER_MB = 1_024
_SLOTS = 4_000
_BODY_BYTES = 4 << 20
_STEP = 200
_STEPS = 5
_ACCOUNTS = 2_000
_CALLERS = 16
_PERIOD_S = 10.0
_WATCH_S = 0.005
_BURSTS = 10


class MemoryRun:
    """One node with its store and its replicas."""

    def __init__(self, folder):
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.plain = [ReplicaStandIn(f"p-{number}") for number in range(3)]
        self.engines = [
            ReplicaStandIn(f"e-{number}", model="m", events=20) for number in range(3)
        ]
        self.folder = Path(folder)
        self.node = None
        self.served = 0
        self.statuses = {}
        self.peak_mb = 0.0

    async def start(self):
        await self.store.start()
        for replica in (*self.plain, *self.engines):
            await replica.start()
            self.list_replica(replica)
        configuration = self.operator.configuration
        configuration["limits"]["max-body-bytes"] = _BODY_BYTES
        for service in configuration["services"]:
            service["max-connections"] = _SLOTS
        for route in configuration["routes"]:
            route["timeout-ms"] = 15_000
        configuration["tenants"] += [
            {"name": f"t{number}", "api-keys": [f"k{number}"], "priority": 1}
            for number in range(_ACCOUNTS)
        ]
        self.operator.configure()
        limits = {"memory-mb": MEMORY_MB, "link-mbps": 1000.0, "max-fds": 8_000}
        self.node = NodeProcess(
            "entry-1", self.folder, self.store.address, "a", limits=limits
        )
        await self.node.start()
        async with asyncio.timeout(_READY_S):
            while not await self.node.is_ready():
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    def list_replica(self, replica):
        entry = json.loads(replica.entry("engines" if replica.model else "plain"))
        entry["slots"] = _SLOTS
        self.store.put("servers", replica.incarnation, json.dumps(entry).encode())

    async def stop(self):
        if self.node is not None:
            await self.node.kill()
        for server in (*self.plain, *self.engines, self.store):
            await server.stop()

    def memory_mb(self):
        status = Path(f"/proc/{self.node.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / _KIB_PER_MB

    def report(self, text):
        print(f"{self.memory_mb():7.1f} MB  {text}", flush=True)

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.node.ports[0])

    async def connections(self):
        """Open connections that send one request each and stay open."""
        writers = []
        self.report("ready")
        for _ in range(_STEPS):
            for _ in range(_STEP):
                reader, writer = await self.open()
                writer.write(head("GET", "/r/x", f"c{len(writers)}", "key-1"))
                await reader.readuntil(b"\r\n\r\n")
                writers.append(writer)
            await asyncio.sleep(1.0)
            self.report(f"{len(writers)} idle connections")
        for writer in writers:
            writer.close()
        await asyncio.sleep(1.0)
        self.report("closed")

    async def streams(self):
        """Hold streams between two events."""
        for replica in self.engines:
            replica._pause_s = 30.0
        writers = []
        self.report("ready")
        more = ["X-Model: m", "X-Token-Usage: 900,64", "X-Prompt-Prefix: aa:500,bb:400"]
        for _ in range(_STEPS):
            for _ in range(_STEP):
                _, writer = await self.open()
                request_id = f"s{len(writers)}"
                body = b"x" * 2_000
                writer.write(head("POST", "/s/x", request_id, "key-1", more, body))
                writers.append(writer)
            await asyncio.sleep(3.0)
            running = sum(len(each.executed_requests) for each in self.engines)
            self.report(f"{len(writers)} streams, {running} at replicas")
        for writer in writers:
            writer.close()
        await asyncio.sleep(2.0)
        self.report("closed")

    async def bursts(self, callers=17, size=_BODY_BYTES):
        """Let callers send large bodies at once, again and again."""
        self.report("ready")
        for number in range(_BURSTS):
            self.statuses, self.peak_mb = {}, 0.0
            watching = asyncio.create_task(self.watch())
            body = b"x" * int(size)
            await asyncio.gather(
                *(
                    self.upload(f"b{number}-{each}", body)
                    for each in range(int(callers))
                )
            )
            watching.cancel()
            peak = f"peak {self.peak_mb:.1f} MB"
            self.report(f"after burst {number}: {peak}, {self.statuses}")
            for replica in self.plain:
                replica.executed_requests.clear()
                replica.requests.clear()
        await asyncio.sleep(5.0)
        self.report("5 s later")

    async def watch(self):
        while True:
            self.peak_mb = max(self.peak_mb, self.memory_mb())
            await asyncio.sleep(_WATCH_S)

    async def upload(self, request_id, body):
        try:
            reader, writer = await self.open()
            writer.write(head("POST", "/r/x", request_id, "key-1", (), body))
            status = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            status = "closed"
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def steady(self, seconds=180.0):
        self.report("ready")
        end_s = time.monotonic() + seconds
        churn = asyncio.create_task(self.churn())
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            callers = [
                asyncio.create_task(self.call(session, number, end_s))
                for number in range(_CALLERS)
            ]
            while time.monotonic() < end_s:
                await asyncio.sleep(_PERIOD_S)
                self.report(f"{self.served} requests: {self.statuses}")
            await asyncio.gather(*callers)
        churn.cancel()
        await asyncio.sleep(5.0)
        self.report("5 s later")

    async def call(self, session, number, end_s):
        while time.monotonic() < end_s:
            self.served += 1
            request_id = f"q{number}-{self.served}"
            account = self.served % _ACCOUNTS
            headers = {
                "Host": "h.example",
                "X-Request-Id": request_id,
                "Authorization": f"Bearer k{account}",
                "X-Deadline-Ms": "9000",
            }
            path = f"/r/{request_id}"
            if self.served % 2:
                path = "/s/x"
                parts = f"a{account}:500,b{request_id}:300,c{request_id}:100"
                headers |= {
                    "X-Model": "m",
                    "X-Token-Usage": "900,64",
                    "X-Prompt-Prefix": parts,
                }
            url = f"{self.node.url}{path}"
            body = request_id.encode() * 50
            try:
                async with session.post(url, headers=headers, data=body) as response:
                    await response.read()
                    status = str(response.status)
            except aiohttp.ClientError as error:
                status = type(error).__name__
            self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(0.01)

    async def churn(self):
        """Replace one replica each second, under a new name and address."""
        number = 0
        while True:
            await asyncio.sleep(1.0)
            number += 1
            for fleet, name, model in (
                (self.plain, "p", None),
                (self.engines, "e", "m"),
            ):
                new = ReplicaStandIn(f"{name}-n{number}", model=model, events=20)
                await new.start()
                self.list_replica(new)
                old = fleet.pop(0)
                fleet.append(new)
                self.store.remove("servers", old.incarnation)
                asyncio.get_running_loop().call_later(
                    3.0, lambda old=old: asyncio.ensure_future(old.stop())
                )
            for replica in (*self.plain, *self.engines):
                replica.executed_requests.clear()
                replica.requests.clear()


def head(method, path, request_id, key, more=(), body=b""):
    """Return the bytes of a request."""
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {request_id}",
        f"Authorization: Bearer {key}",
        "X-Deadline-Ms: 14000",
        f"Content-Length: {len(body)}",
        *more,
    )
    return "\r\n".join([*lines, "", ""]).encode() + body


async def main(name, *arguments):
    with tempfile.TemporaryDirectory() as folder:
        run = MemoryRun(folder)
        try:
            await run.start()
            await getattr(run, name)(*map(float, arguments))
        finally:
            await run.stop()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
