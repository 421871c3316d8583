"""Injects faults that are drawn from a seed; several may overlap."""

import asyncio
import signal

from tests.platform_standins import ReplicaBehavior, StoreBehavior

from ._proxy import Link

_REPLICA_BEHAVIORS = [
    behavior for behavior in ReplicaBehavior if behavior is not ReplicaBehavior.SILENT
]
_LINK_FAULTS = [mode for mode in Link if mode is not Link.NORMAL]
_STORE_FAULTS = [
    StoreBehavior.BUSY,
    StoreBehavior.RATE_LIMITED,
    StoreBehavior.DROPS_RESPONSES,
    StoreBehavior.HISTORY_LOST,
]


class Faults:
    """Injects faults until it is cancelled and records their names in ``history``."""

    pauses_s = (0.1, 0.6)

    def __init__(self, random, fleet):
        self._random = random
        self._fleet = fleet
        self.history = []

    def kinds(self):
        return (
            self._kill,
            self._pause,
            self._planned_stop,
            self._disturb_replica_link,
            self._disturb_store_link,
            self._reset_link,
            self._inject_replica_faults,
            self._inject_store_fault,
            self._set_weights_version,
            self._withdraw_key,
            self._drain_replica,
        )

    async def run(self):
        kinds = self.kinds()
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._random.uniform(*self.pauses_s))
                kind = self._random.choice(kinds)
                self.history.append(kind.__name__)
                group.create_task(kind())

    def _sleep_during_fault(self):
        return asyncio.sleep(self._random.uniform(0.3, 1.5))

    def _pick_healthy_node(self):
        """Return a node without an injected fault; None if at most one is left."""
        healthy = [
            node for node in self._fleet.nodes if node not in self._fleet.faulted_nodes
        ]
        return self._random.choice(healthy) if len(healthy) > 1 else None

    async def _kill(self):
        await self._stop_and_restart(signal.SIGKILL)

    async def _planned_stop(self):
        await self._stop_and_restart(signal.SIGTERM)

    async def _stop_and_restart(self, number):
        node = self._pick_healthy_node()
        if node is None:
            return
        self._fleet.faulted_nodes.add(node)
        end = self._fleet.disturbances.begin(node.name)
        # A process that does not listen yet may exit with any code.
        is_up = await node.is_ready()
        node.signal(number)
        code = await node.wait_for_exit()
        if number == signal.SIGTERM and is_up and code != 0:
            self._fleet.violations.append(f"{node.name} exited with {code} on SIGTERM")
        await self._sleep_during_fault()
        await node.start()
        end()
        self._fleet.faulted_nodes.discard(node)

    async def _pause(self):
        node = self._pick_healthy_node()
        if node is None:
            return
        self._fleet.faulted_nodes.add(node)
        end = self._fleet.disturbances.begin(node.name)
        node.signal(signal.SIGSTOP)
        await self._sleep_during_fault()
        node.signal(signal.SIGCONT)
        end()
        self._fleet.faulted_nodes.discard(node)

    async def _disturb_replica_link(self):
        await self._disturb_link(self._random.choice(self._fleet.replica_links))

    async def _disturb_store_link(self):
        link = self._random.choice(self._fleet.store_links)
        node = self._fleet.nodes[self._fleet.store_links.index(link)]
        await self._disturb_link(link, node.name)

    async def _disturb_link(self, link, *subjects):
        """Disturb a link for a while; connections that lost bytes stay silent."""
        disturbances = self._fleet.disturbances
        ends = [disturbances.begin(subject) for subject in (link, *subjects)]
        link.mode = self._random.choice(_LINK_FAULTS)
        await self._sleep_during_fault()
        link.mode = Link.NORMAL
        for end in ends:
            end()

    async def _reset_link(self):
        links = [*self._fleet.replica_links, *self._fleet.store_links]
        self._random.choice(links).reset_all()

    async def _inject_replica_faults(self):
        replica = self._random.choice(self._fleet.replicas)
        replica.behaviors = [self._random.choice(_REPLICA_BEHAVIORS) for _ in range(6)]

    async def _inject_store_fault(self):
        end = self._fleet.disturbances.begin(self._fleet.store)
        self._fleet.store.behavior = self._random.choice(_STORE_FAULTS)
        await self._sleep_during_fault()
        self._fleet.store.behavior = StoreBehavior.NORMAL
        end()

    async def _set_weights_version(self):
        self._fleet.version += 1
        self._fleet.operator.set_weights_version("m", self._fleet.version)

    async def _withdraw_key(self):
        self._fleet.withdraw_key()

    async def _drain_replica(self):
        replica = self._random.choice(self._fleet.staying_replicas())
        self._fleet.list_replica(replica, state="draining")
        withdrawal = self._fleet.withdrawals.record_leaving(replica)
        await self._sleep_during_fault()
        if replica in self._fleet.staying_replicas():
            withdrawal.end()
            self._fleet.list_replica(replica)


class AddedFaults(Faults):
    """Kinds added later, with random draws of their own.

    The faults that an older seed draws thus stay the same.
    """

    pauses_s = (0.4, 2.0)

    def kinds(self):
        return (
            self._restore_snapshot,
            self._replica_reports_limit,
            self._slow_replicas,
            self._report_unreadable_load,
            self._hang_replica,
        )

    async def _restore_snapshot(self):
        """Restore the store from an older snapshot, once or twice in a row."""
        end = self._fleet.disturbances.begin(self._fleet.store)
        for _ in range(self._random.choice((1, 1, 2))):
            lost_writes = self._random.randrange(60)
            rewrite_now = self._random.random() < 0.5
            self._fleet.store.restore_before_last_writes(
                lost_writes, rewrite_lost=rewrite_now
            )
            await asyncio.sleep(self._random.uniform(0.0, 0.4))
            self._fleet.store.rewrite_lost_rows()
        end()

    async def _replica_reports_limit(self):
        replica = self._random.choice(self._fleet.replicas)
        replica.notices = [("Server-Limit", self._random.choice(("2", "8.5", "0")))]
        await self._sleep_during_fault()
        replica.notices = []

    async def _slow_replicas(self):
        """Let some replicas work slowly and report so, maybe all at once."""
        count = self._random.randint(1, len(self._fleet.replicas))
        slow = self._random.sample(self._fleet.replicas, count)
        for replica in slow:
            replica.load_report, replica.pause_factor = "1,0,4,250", 2.5
        await self._sleep_during_fault()
        for replica in slow:
            replica.load_report, replica.pause_factor = "1,0,4,100", 1.0

    async def _report_unreadable_load(self):
        replica = self._random.choice(self._fleet.replicas)
        replica.load_report = self._random.choice(
            ("1,0,4,0", "1,0,4,-250", "1,0,4,fast", "1,0", "1,0,4,250,1")
        )
        await self._sleep_during_fault()
        replica.load_report = None

    async def _hang_replica(self):
        """Let a replica execute some requests without answering any of them."""
        replica = self._random.choice(self._fleet.replicas)
        replica.behaviors = [ReplicaBehavior.SILENT] * self._random.randint(1, 4)
