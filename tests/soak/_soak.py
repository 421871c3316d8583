"""Runs one seed with nodes, callers and faults, and checks the results."""

import asyncio
import random
import tempfile
from collections import Counter

from tests.platform_standins import Operator, ReplicaStandIn, StoreStandIn

from ._callers import STREAM_EVENTS, Caller
from ._faults import AddedFaults, Faults
from ._nodes import NodeProcess
from ._proxy import Proxy

_NODES = 3
_ZONES = ("a", "b")
_CALLERS = 8
_KEYS = [f"key-{n}" for n in range(1, 9)]
_START_TIMEOUT_S = 20
_REVOCATION_LIMIT_S = 5.0
# Of the repeatable routes; see ``Operator``.
_MAX_ATTEMPTS = 2
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class SoakFleet:
    """The nodes, stand-ins and proxies of one seed, and the observed results."""

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
        self.faulted_nodes, self.violations = set(), []
        self.result_by_id = {}
        self.withdrawn_s_by_key = {}
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
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(0.1)

    def list_replica(self, replica, state="ready"):
        service = "engines" if replica.model else "plain"
        entry = replica.entry(service, state=state)
        link = self.replica_links[self.replicas.index(replica)]
        entry = entry.replace(replica.address.encode(), link.address.encode())
        self.store.put("servers", replica.incarnation, entry)

    def withdraw_key(self):
        valid_keys = [key for key in _KEYS if key not in self.withdrawn_s_by_key]
        if len(valid_keys) > 3:
            self.withdrawn_s_by_key[valid_keys[-1]] = asyncio.get_running_loop().time()
            self._configure()

    def _configure(self):
        valid_keys = [key for key in _KEYS if key not in self.withdrawn_s_by_key]
        self.operator.configure(tenants=[{"name": "acme", "api-keys": valid_keys}])

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        for server in [*self.replica_links, *self.store_links]:
            await server.stop()
        for server in [*self.replicas, self.store]:
            await server.stop()

    def check(self):
        """Return the violations that callers and replicas observed.

        These conditions are checked: Each answer is correct. A non-idempotent request
        is executed at most once, any other at most ``_MAX_ATTEMPTS`` times, a rejected
        request never, and no request is executed more than ``_REVOCATION_LIMIT_S``
        after its key was withdrawn. For each replica the fencing tokens of weight
        orders never decrease, and each token has one holder.
        """
        violations = list(self.violations)
        execution_counts = Counter(
            sent.headers["x-request-id"]
            for replica in self.replicas
            for sent in replica.executed_requests
        )
        for result in self.result_by_id.values():
            executions = execution_counts[result.request_id]
            if result.problem:
                violations.append(
                    f"{result.request_id} {result.path}: {result.problem}"
                )
            if executions > _MAX_ATTEMPTS:
                violations.append(
                    f"{result.request_id} {result.path} was executed {executions} times"
                )
            if result.path == "/w/x" and executions > 1:
                violations.append(
                    f"{result.request_id} was executed {executions} times"
                )
            if result.status in _NOT_EXECUTED_STATUSES and executions:
                violations.append(f"{result.request_id} was rejected and executed")
            since_s = result.sent_s - self.withdrawn_s_by_key.get(
                result.key, result.sent_s
            )
            if executions and since_s > _REVOCATION_LIMIT_S:
                violations.append(
                    f"{result.request_id} executed {since_s:.1f} s after revocation"
                )
        for replica in self.replicas:
            fences = [order["fence"] for order in replica.orders]
            holders = {(order["fence"], order["holder"]) for order in replica.orders}
            if fences != sorted(fences) or len(holders) != len(set(fences)):
                violations.append(f"{replica.incarnation}: orders {sorted(holders)}")
        if not any(result.status == 200 for result in self.result_by_id.values()):
            violations.append("no request was answered")
        return violations


async def run_seed(seed, seconds, nodes=_NODES, *, is_older_seed=False):
    """Run one seed; return the violations, counts by status, and the faults.

    ``is_older_seed`` leaves out ``AddedFaults``, which did not exist when the seed was
    first run.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = SoakFleet(seed, folder, nodes)
        await fleet.start()
        faults = Faults(random.Random(seed + 1), fleet)
        tasks = [
            asyncio.create_task(
                Caller(
                    f"c{number}",
                    random.Random(f"{seed}/{number}"),
                    fleet.nodes,
                    _KEYS,
                    fleet.result_by_id,
                ).run()
            )
            for number in range(_CALLERS)
        ]
        tasks.append(asyncio.create_task(faults.run()))
        added_faults = AddedFaults(random.Random(seed + 2), fleet)
        if not is_older_seed:
            tasks.append(asyncio.create_task(added_faults.run()))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        fleet.violations += [
            f"the soak test failed: {result!r}"
            for result in results
            if not isinstance(result, asyncio.CancelledError)
        ]
        await fleet.stop()
        for node in fleet.nodes:
            text = node.log.read_text()
            if "Traceback" in text or "unexpected exception" in text:
                traceback_at = text.find("Traceback")
                fleet.violations.append(
                    f"{node.name} logged: {text[traceback_at : traceback_at + 900]}"
                )
        statuses = Counter(str(item.status) for item in fleet.result_by_id.values())
        return fleet.check(), statuses, faults.history + added_faults.history
