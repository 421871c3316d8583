"""One seed: nodes, callers, faults, and what must hold of it all."""

import asyncio
import random
import tempfile
from collections import Counter

from tests.platform_standins import Operator, ReplicaStandIn, StoreStandIn

from ._callers import STREAM_EVENTS, Caller
from ._faults import Faults, LaterFaults
from ._nodes import NodeProcess
from ._proxy import Proxy

_NODES = 3
_ZONES = ("a", "b")
_CALLERS = 8
_KEYS = [f"key-{n}" for n in range(1, 9)]
_START_S = 20
_REVOKE_S = 5.0
_SAYS_NOT_RUN = (408, 421, 429, 503)


class Fleet:
    """Everything that runs for one seed."""

    def __init__(self, seed, folder, nodes):
        self.node_count = nodes
        self.random = random.Random(seed)
        self.folder = folder
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.replicas = [ReplicaStandIn(f"p-{n}") for n in (1, 2, 3)]
        self.replicas += [
            ReplicaStandIn(f"e-{n}", model="m", events=STREAM_EVENTS, pause_s=0.005)
            for n in (1, 2, 3)
        ]
        self.nodes, self.replica_links, self.store_links = [], [], []
        self.struck, self.broken = set(), []
        self.told = {}
        self.withdrawn_s = {}
        self.version = 1

    async def start(self):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            link = Proxy(replica.address)
            await link.start()
            self.replica_links.append(link)
            self.list_replica(replica)
        self._configure()
        for number in range(self.node_count):
            link = Proxy(self.store.address)
            await link.start()
            self.store_links.append(link)
            zone = _ZONES[number % len(_ZONES)]
            node = NodeProcess(f"entry-{number}", self.folder, link.address, zone)
            await node.start()
            self.nodes.append(node)
        async with asyncio.timeout(_START_S):
            while not all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(0.1)

    def list_replica(self, replica, state="ready"):
        service = "engines" if replica.model else "plain"
        entry = replica.entry(service, state=state)
        link = self.replica_links[self.replicas.index(replica)]
        entry = entry.replace(replica.address.encode(), link.address.encode())
        self.store.put("servers", replica.incarnation, entry)

    def withdraw_key(self):
        left = [key for key in _KEYS if key not in self.withdrawn_s]
        if len(left) > 3:
            self.withdrawn_s[left[-1]] = asyncio.get_running_loop().time()
            self._configure()

    def _configure(self):
        left = [key for key in _KEYS if key not in self.withdrawn_s]
        self.operator.configure(tenants=[{"name": "acme", "api-keys": left}])

    async def stop(self):
        for node in self.nodes:
            await node.end()
        for server in [*self.replica_links, *self.store_links]:
            await server.stop()
        for server in [*self.replicas, self.store]:
            await server.stop()

    def check(self):
        """Return what was broken, as callers and replicas saw it."""
        broken = list(self.broken)
        times = Counter(
            sent.headers["x-request-id"]
            for replica in self.replicas
            for sent in replica.executed_requests
        )
        for told in self.told.values():
            ran = times[told.request_id]
            if told.problem:
                broken.append(f"{told.request_id} {told.path}: {told.problem}")
            if told.path == "/w/x" and ran > 1:
                broken.append(f"{told.request_id} ran {ran} times")
            if told.status in _SAYS_NOT_RUN and ran:
                broken.append(f"{told.request_id} was refused and ran")
            since_s = told.sent_s - self.withdrawn_s.get(told.key, told.sent_s)
            if ran and since_s > _REVOKE_S:
                broken.append(f"{told.request_id} ran {since_s:.1f} s after revocation")
        for replica in self.replicas:
            fences = [order["fence"] for order in replica.orders]
            holders = {(order["fence"], order["holder"]) for order in replica.orders}
            if fences != sorted(fences) or len(holders) != len(set(fences)):
                broken.append(f"{replica.incarnation}: orders {sorted(holders)}")
        if not any(told.status == 200 for told in self.told.values()):
            broken.append("nothing was answered")
        return broken


async def play(seed, seconds, nodes=_NODES, *, is_earlier=False):
    """Play one seed; return what was broken, counts by status, and the faults.

    A seed ``is_earlier`` that was first played before there were later kinds of faults.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(seed, folder, nodes)
        await fleet.start()
        faults = Faults(random.Random(seed + 1), fleet)
        tasks = [
            asyncio.create_task(
                Caller(
                    f"c{number}",
                    random.Random(f"{seed}/{number}"),
                    fleet.nodes,
                    _KEYS,
                    fleet.told,
                ).run()
            )
            for number in range(_CALLERS)
        ]
        tasks.append(asyncio.create_task(faults.run()))
        later = LaterFaults(random.Random(seed + 2), fleet)
        if not is_earlier:
            tasks.append(asyncio.create_task(later.run()))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        fleet.broken += [
            f"the soak itself: {result!r}"
            for result in results
            if not isinstance(result, asyncio.CancelledError)
        ]
        await fleet.stop()
        for node in fleet.nodes:
            text = node.log.read_text()
            if "Traceback" in text or "fault of the program" in text:
                at = text.find("Traceback")
                fleet.broken.append(f"{node.name} logged: {text[at : at + 900]}")
        statuses = Counter(str(told.status) for told in fleet.told.values())
        return fleet.check(), statuses, faults.history + later.history
