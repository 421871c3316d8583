"""The nodes, stand-ins and proxies of one seed of the soak test."""

import asyncio
import random
from collections import Counter

from tests.platform_standins import Operator, ReplicaStandIn, StoreStandIn

from ._callers import STREAM_EVENTS, Caller
from ._nodes import NodeProcess
from ._partitions import NodeLink, StoreView
from ._proxy import Proxy
from ._withdrawals import Disturbances, Withdrawals

ZONES = ("a", "b")
KEYS = [f"key-{n}" for n in range(1, 9)]
_START_TIMEOUT_S = 20
# How often it is measured whether the stand-ins run.
_SAMPLE_S = 0.05
# A replica renews its entry in each such interval.
_RENEWAL_S = 1.2
_REVOCATION_LIMIT_S = 5.0
# Of the repeatable routes; see ``Operator``.
_MAX_ATTEMPTS = 2
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class SoakFleet:
    """The nodes, stand-ins and proxies of one seed, and the observed results."""

    # The paths whose requests may be executed once.
    single_run_paths = ("/w/x",)

    def __init__(
        self, seed, folder, nodes, *, replica_zones=ZONES, has_node_links=False
    ):
        self.node_count = nodes
        self.node_settings = {}
        self.caller_count = 8
        self.replica_zones = replica_zones
        self.random = random.Random(seed)
        self.folder = folder
        self.store = StoreStandIn()
        self.operator = Operator(self.store)
        self.replicas = []
        self.zone_by_name, self.leaving, self.is_evacuated = {}, [], False
        self.has_node_links, self._views = has_node_links, []
        self.nodes, self.replica_links, self.store_links = [], [], []
        self.faulted_nodes, self.violations = set(), []
        self.disturbances = Disturbances()
        self.withdrawals = Withdrawals(self)
        self.result_by_id = {}
        self.withdrawn_s_by_key = {}
        self.stalled_s = 0.0
        self.version = 1
        self._added_replicas = 0

    def make_caller(self, number, random):
        """Return one of the callers that run until the seed ends."""
        return Caller(f"c{number}", random, self.nodes, KEYS, self.result_by_id)

    async def start(self):
        await self.store.start()
        for number, replica in enumerate(self.initial_replicas()):
            zone = self.replica_zones[number % len(self.replica_zones)]
            await self._start_replica(replica, zone)
        self._configure()
        for number in range(self.node_count):
            link = Proxy(await self._start_store_view())
            await link.start()
            self.store_links.append(link)
            zone = ZONES[number % len(ZONES)]
            node = NodeProcess(
                f"entry-{number}",
                self.folder,
                link.address,
                zone,
                **self.node_settings,
            )
            await node.start()
            self.nodes.append(node)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(0.1)

    async def pass_time(self, seconds):
        """Wait until the seed ends."""
        watch = asyncio.create_task(self._watch_stalls())
        await self._until_end(seconds)
        watch.cancel()

    async def _until_end(self, seconds):
        await asyncio.sleep(seconds)

    async def _watch_stalls(self):
        """Measure how late the stand-ins run: what they see is later by as much.

        The store is one of them. While it stands still, no replica renews its entry.
        """
        now_s = asyncio.get_running_loop().time
        while True:
            before_s = now_s()
            await asyncio.sleep(_SAMPLE_S)
            stalled_s = now_s() - before_s - _SAMPLE_S
            self.stalled_s = max(self.stalled_s, stalled_s)
            if stalled_s >= _RENEWAL_S:
                self.disturbances.record(self.store, before_s, now_s())

    def initial_replicas(self):
        replicas = [ReplicaStandIn(f"p-{n}") for n in (1, 2, 3)]
        return replicas + [_engine(f"e-{n}") for n in (1, 2, 3)]

    async def _start_store_view(self):
        """Return the address of the store for one more node."""
        if not self.has_node_links:
            return self.store.address
        view = StoreView(self.store)
        await view.start()
        for link in self.replica_links:
            view.link_by_replica[link.address] = NodeLink(link.address)
            await view.link_by_replica[link.address].start()
        self._views.append(view)
        return view.address

    def node_link(self, node, replica):
        """Return the link of one node to one replica."""
        view = self._views[self.nodes.index(node)]
        return view.link_by_replica[self.link_of(replica).address]

    async def _start_replica(self, replica, zone):
        await replica.start()
        link = Proxy(replica.address)
        await link.start()
        self.zone_by_name[replica.incarnation] = zone
        self.replicas.append(replica)
        self.replica_links.append(link)
        self.list_replica(replica)

    async def add_replica_like(self, replica):
        """Start and list another replica of the same service and failure domain."""
        self._added_replicas += 1
        if replica.model:
            added = _engine(f"e-added-{self._added_replicas}", version=self.version)
        else:
            added = ReplicaStandIn(f"p-added-{self._added_replicas}")
        await self._start_replica(added, self.zone_by_name[replica.incarnation])

    def staying_replicas(self):
        return [replica for replica in self.replicas if replica not in self.leaving]

    def link_of(self, replica):
        return self.replica_links[self.replicas.index(replica)]

    def list_replica(self, replica, state="ready"):
        service = "engines" if replica.model else "plain"
        zone = self.zone_by_name[replica.incarnation]
        entry = replica.entry(service, state=state, zone=zone)
        link = self.link_of(replica)
        entry = entry.replace(replica.address.encode(), link.address.encode())
        self.store.put("servers", replica.incarnation, entry)

    def withdraw_key(self):
        valid_keys = [key for key in KEYS if key not in self.withdrawn_s_by_key]
        if len(valid_keys) > 3:
            self.withdrawn_s_by_key[valid_keys[-1]] = asyncio.get_running_loop().time()
            self._configure()

    def _configure(self):
        valid_keys = [key for key in KEYS if key not in self.withdrawn_s_by_key]
        self.operator.configure(tenants=[{"name": "acme", "api-keys": valid_keys}])

    async def stop(self):
        for node in self.nodes:
            node.note_unexpected_exit()
            self.violations += [
                f"{node.name} ended by itself with {code}"
                for code in node.unexpected_exits
            ]
            await node.kill()
        node_links = [
            link for view in self._views for link in view.link_by_replica.values()
        ]
        links = [*node_links, *self.replica_links, *self.store_links]
        for server in [*links, *self._views]:
            await server.stop()
        for server in [*self.replicas, self.store]:
            await server.stop()

    def executed_requests(self):
        """Return what all replicas have executed."""
        return [sent for item in self.replicas for sent in item.executed_requests]

    def counts(self):
        """Return the requests by status, and the withdrawals that could be judged."""
        counts = Counter(str(item.status) for item in self.result_by_id.values())
        counts["withdrawals judged"] = len(self.withdrawals.judged())
        counts["stand-ins stalled, ms"] = int(self.stalled_s * 1_000)
        return counts

    def check(self):
        """Return the violations that callers and replicas observed.

        These conditions are checked: Each answer is correct. A non-idempotent request
        is executed at most once, any other at most ``_MAX_ATTEMPTS`` times, a rejected
        request never, and no request is executed more than ``_REVOCATION_LIMIT_S``
        after its key was withdrawn. No request reaches a replica late after it left
        or its failure domain was evacuated; see ``Withdrawals``. For each replica the
        fencing tokens of weight orders never decrease, and each token has one holder.
        """
        violations = list(self.violations)
        execution_counts = Counter(
            sent.headers["x-request-id"] for sent in self.executed_requests()
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
            if result.path in self.single_run_paths and executions > 1:
                violations.append(
                    f"{result.request_id} was executed {executions} times"
                )
            if result.status in NOT_EXECUTED_STATUSES and executions:
                violations.append(f"{result.request_id} was rejected and executed")
            since_s = result.sent_s - self.withdrawn_s_by_key.get(
                result.key, result.sent_s
            )
            if executions and since_s > _REVOCATION_LIMIT_S:
                violations.append(
                    f"{result.request_id} executed {since_s:.1f} s after revocation"
                )
        violations += self.withdrawals.violations()
        violations += [
            f"{replica.incarnation} got {name} without an id"
            for replica in self.replicas
            for name in getattr(replica, "unnamed_requests", ())
        ]
        for replica in self.replicas:
            fences = [order["fence"] for order in replica.orders]
            holders = {(order["fence"], order["holder"]) for order in replica.orders}
            if fences != sorted(fences) or len(holders) != len(set(fences)):
                violations.append(f"{replica.incarnation}: orders {sorted(holders)}")
        if not any(result.status == 200 for result in self.result_by_id.values()):
            violations.append("no request was answered")
        return violations


def _engine(name, version=1):
    return ReplicaStandIn(
        name, model="m", version=version, events=STREAM_EVENTS, pause_s=0.005
    )
