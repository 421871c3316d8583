"""Three replicas of an unsafe route that crash, flap and are replaced under load."""

import asyncio
from collections import Counter

from ._callers import Caller
from ._fleet import KEYS, NOT_EXECUTED_STATUSES
from ._partitions import Cut
from ._rejections import RejectionFaults, RejectionFleet, ReplicaProcess

_SLOTS = 6
_CALLERS_PER_NODE = 3
_SINGLE_RUN_SHARE = 0.8
# A replica that crashes stays listed until its entry lapses.
_LAPSES_S = (0.2, 1.5)
_DRAIN_S = 0.6


class UnsafeCaller(Caller):
    """Sends mostly requests that may be executed once."""

    def draw_route(self):
        if self._random.random() < _SINGLE_RUN_SHARE:
            return "POST", "/w/x"
        return super().draw_route()


class FlappingFleet(RejectionFleet):
    """Plain replicas with few slots, which come back at new ports.

    In seeds that are even, each node has links of its own to the replicas, which can be
    cut, and replicas keep their ports.
    """

    def __init__(self, seed, folder, nodes, **options):
        options["has_node_links"] = seed % 2 == 0
        super().__init__(seed, folder, nodes, **options)
        self.caller_count = _CALLERS_PER_NODE * nodes
        # Replicas that were replaced, or that may not have been listed yet.
        self.gone = []
        self._started = 0

    def initial_replicas(self):
        plain = [self.plain_process() for _ in range(3)]
        return [*plain, self._process("e-1", model="m")]

    def plain_process(self, name=None, software="v1"):
        self._started += 1
        return ReplicaProcess(
            name or f"p-{self._started}",
            self.folder,
            self.seed,
            software=software,
            slots=_SLOTS,
        )

    def plain(self):
        return [item for item in self.replicas if not item.model]

    def make_caller(self, number, random):
        return UnsafeCaller(f"c{number}", random, self.nodes, KEYS, self.result_by_id)

    def list_replica(self, replica, state="ready"):
        if self.has_node_links or replica.model:
            super().list_replica(replica, state)
            return
        zone = self.zone_by_name[replica.incarnation]
        entry = replica.entry("plain", state=state, zone=zone)
        self.store.put("servers", replica.incarnation, entry)

    async def replace(self, replica, fresh):
        """Start another replica in the place of one, at a port of its own."""
        self.gone += [replica, fresh]
        await fresh.start()
        number = self.replicas.index(replica)
        self.replicas[number] = fresh
        self.replica_links[number].target = fresh.address
        self.zone_by_name[fresh.incarnation] = self.zone_by_name[replica.incarnation]
        self.list_replica(fresh)

    def executed_requests(self):
        """Return what all replicas have executed, each record once."""
        by_name = {item.incarnation: item for item in [*self.gone, *self.replicas]}
        return [sent for item in by_name.values() for sent in item.executed_requests]

    def counts(self):
        """Return the requests by status, and those that broke a rule."""
        executions = Counter(
            sent.headers["x-request-id"] for sent in self.executed_requests()
        )
        single = [
            item
            for item in self.result_by_id.values()
            if item.path in self.single_run_paths
        ]
        counts = super().counts()
        counts["may run once"] = len(single)
        counts["ran twice"] = sum(executions[item.request_id] > 1 for item in single)
        counts["rejected and ran"] = sum(
            executions[item.request_id] > 0 and item.status in NOT_EXECUTED_STATUSES
            for item in single
        )
        return counts

    async def stop(self):
        await super().stop()
        for replica in self.gone:
            await replica.stop()


class Flapping(RejectionFaults):
    """Crashes one or two replicas at a time, replaces them, and cuts links."""

    def __init__(self, random, fleet):
        super().__init__(random, fleet)
        self._replaced = 0

    def kinds(self):
        kinds = (
            self._crash,
            self._crash,
            self._crash,
            self._replace_software,
            self._pause_replica,
            self._kill,
            self._planned_stop,
            self._pause,
            self._set_weights_version,
        )
        return (*kinds, self._cut) if self._fleet.has_node_links else kinds

    def _pick_plain(self, count):
        """Return replicas without a fault; one always stays."""
        sound = [x for x in self._fleet.plain() if x not in self._faulted_replicas]
        count = min(count, len(sound) - 1)
        return self._random.sample(sound, count) if count > 0 else []

    async def _crash(self):
        replicas = self._pick_plain(self._random.choice((1, 2)))
        self._faulted_replicas.update(replicas)
        await asyncio.gather(*map(self._crash_and_return, replicas))

    async def _crash_and_return(self, replica):
        """Kill a replica; it comes back under its name or another one."""
        fleet = self._fleet
        await replica.stop()
        await asyncio.sleep(self._random.uniform(*_LAPSES_S))
        if self._random.random() < 0.7:
            fleet.store.remove("servers", replica.incarnation)
        keeps_name = self._random.random() < 0.5
        if keeps_name:
            await fleet.restart(replica)
        else:
            fleet.store.remove("servers", replica.incarnation)
            await fleet.replace(replica, fleet.plain_process())
        self._faulted_replicas.discard(replica)

    async def _replace_software(self):
        """Start a replica of newer software, and let the older one drain."""
        for replica in self._pick_plain(1):
            self._faulted_replicas.add(replica)
            self._replaced += 1
            fresh = self._fleet.plain_process(software=f"v{1 + self._replaced}")
            self._fleet.list_replica(replica, state="draining")
            await self._fleet.replace(replica, fresh)
            await asyncio.sleep(_DRAIN_S)
            self._fleet.store.remove("servers", replica.incarnation)
            await replica.stop()
            self._faulted_replicas.discard(replica)

    async def _cut(self):
        """Cut some nodes from one or two replicas."""
        fleet = self._fleet
        count = self._random.choice((1, len(fleet.nodes) // 2, len(fleet.nodes) - 1))
        cut = self._random.choice(list(Cut))
        replicas = self._random.sample(fleet.plain(), self._random.choice((1, 2)))
        links = [
            fleet.node_link(node, replica)
            for node in self._random.sample(fleet.nodes, max(1, count))
            for replica in replicas
        ]
        for link in links:
            link.cut(cut)
        try:
            await self._sleep_during_fault()
        finally:
            for link in links:
                await link.restore()
