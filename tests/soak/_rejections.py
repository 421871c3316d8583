"""Replicas as processes that reject requests, repeat rejections and are killed."""

import asyncio
import json
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from tests.platform_standins import Listed

from ._callers import Caller
from ._faults import Faults
from ._fleet import KEYS, SoakFleet
from ._replica_process import body_of

_POLL_S = 0.1
_REPORT_TIMEOUT_S = 0.5
_MAX_BODY_BYTES = 1_000_000
# Larger ones than the buffers of a connection hold, so that a replica can answer while
# the rest is still to be sent.
_LONG_BODY_BYTES = (200_000, 900_000)


@dataclass(frozen=True)
class Execution:
    """A request that a replica has begun to execute."""

    headers: dict


class ReplicaProcess(Listed):
    """A replica in a process of its own; see ``_replica_process``."""

    def __init__(
        self, incarnation, folder, seed, *, model=None, software="v1", slots=0
    ):
        """With ``slots`` it rejects what exceeds them and a queue as long."""
        self.incarnation = incarnation
        self.model = model
        self.version = 1
        self.software = software
        self._slots = slots
        self.address = ""
        self.started_ms = 0
        self._records = Path(folder) / f"{incarnation}.records"
        self._random = random.Random(f"{seed}/{incarnation}")
        self._process = None

    async def start(self):
        """Start the process; it has the name that it had before."""
        self.started_ms = time.time_ns() // 1_000_000
        settings = {
            "incarnation": self.incarnation,
            "model": self.model,
            "version": self.version,
            "started_ms": self.started_ms,
            "slots": self._slots,
            "seed": self._random.randrange(2**32),
            "records": str(self._records),
        }
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.soak._replica_process"),
            json.dumps(settings),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self._process.stdout.readline()).decode().strip()

    def signal(self, number):
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self):
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._process.wait()

    def records(self, kind):
        """Return what the processes of this replica have recorded."""
        if not self._records.exists():
            return []
        lines = map(json.loads, self._records.read_text().splitlines())
        return [line["value"] for line in lines if line["kind"] == kind]

    @property
    def executed_requests(self):
        ids = self.records("execution")
        return [Execution({"x-request-id": request_id}) for request_id in ids]

    @property
    def orders(self):
        return self.records("order")


class UploadCaller(Caller):
    """Sends long bodies with half of its requests that may be executed once."""

    def body(self, path, request_id):
        if path != "/w/x" or self._random.random() < 0.5:
            return None
        return body_of(request_id, self._random.randint(*_LONG_BODY_BYTES))


class RejectionFleet(SoakFleet):
    """Replicas are processes, and neither uploads nor streams may be repeated."""

    single_run_paths = ("/w/x", "/s/x")

    def __init__(self, seed, folder, nodes, **options):
        super().__init__(seed, folder, nodes, **options)
        self.seed = seed
        configuration = self.operator.configuration
        configuration["limits"]["max-body-bytes"] = _MAX_BODY_BYTES
        for route in configuration["routes"]:
            route.pop("resumable", None)
        self._watch = None

    def initial_replicas(self):
        plain = [self._process(f"p-{number}") for number in (1, 2)]
        return plain + [self._process(f"e-{number}", model="m") for number in (1, 2)]

    def _process(self, name, model=None):
        return ReplicaProcess(name, self.folder, self.seed, model=model)

    def make_caller(self, number, random):
        name = f"c{number}"
        return UploadCaller(name, random, self.nodes, KEYS, self.result_by_id)

    async def start(self):
        await super().start()
        self._watch = asyncio.create_task(self._follow_weights())

    async def stop(self):
        if self._watch is not None:
            self._watch.cancel()
        await super().stop()

    async def restart(self, replica):
        """Kill a replica and start it again; its address and name stay the same."""
        await replica.stop()
        self.store.remove("servers", replica.incarnation)
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await replica.start()
        self.link_of(replica).target = replica.address
        self.list_replica(replica)

    def check(self):
        """Return the violations, with those that replicas found in bodies."""
        found = [line for item in self.replicas for line in item.records("problem")]
        return [*super().check(), *found]

    async def _follow_weights(self):
        """List the weights that the engines have."""
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for replica in self.replicas:
                    if replica.model:
                        await self._read_weights(session, replica)
                await asyncio.sleep(_POLL_S)

    async def _read_weights(self, session, replica):
        url = f"http://{replica.address}/-/report"
        try:
            async with session.get(url, headers={"Connection": "close"}) as response:
                report = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        version = report["models"][0]["version"]
        if version != replica.version:
            replica.version = version
            self.list_replica(replica)


class RejectionFaults(Faults):
    """Signals to replicas and nodes, beside rollouts of weights."""

    pauses_s = (0.2, 0.8)

    def __init__(self, random, fleet):
        super().__init__(random, fleet)
        self._faulted_replicas = set()

    def kinds(self):
        return (
            self._kill_replica,
            self._kill_replica,
            self._pause_replica,
            self._pause_replica,
            self._replace_replicas_in_rollout,
            self._set_weights_version,
            self._kill,
            self._planned_stop,
            self._pause,
            self._reset_link,
            self._disturb_replica_link,
        )

    def _pick_replica(self):
        found = [
            replica
            for replica in self._fleet.replicas
            if replica not in self._faulted_replicas
        ]
        return self._random.choice(found) if len(found) > 1 else None

    async def _kill_replica(self):
        replica = self._pick_replica()
        if replica is not None:
            self._faulted_replicas.add(replica)
            await self._fleet.restart(replica)
            self._faulted_replicas.discard(replica)

    async def _pause_replica(self):
        replica = self._pick_replica()
        if replica is None:
            return
        self._faulted_replicas.add(replica)
        replica.signal(signal.SIGSTOP)
        await self._sleep_during_fault()
        replica.signal(signal.SIGCONT)
        self._faulted_replicas.discard(replica)

    async def _replace_replicas_in_rollout(self):
        """Name new weights, and replace the engines one after the other."""
        await self._set_weights_version()
        for replica in self._fleet.replicas:
            if replica.model and replica not in self._faulted_replicas:
                self._faulted_replicas.add(replica)
                await self._fleet.restart(replica)
                self._faulted_replicas.discard(replica)
