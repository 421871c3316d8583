"""Faults drawn from a seed; several overlap."""

import asyncio
import signal

from tests.platform_standins import ReplicaBehavior, StoreBehavior

from ._proxy import Link

_MANNERS = [
    behavior for behavior in ReplicaBehavior if behavior is not ReplicaBehavior.SILENT
]
_LINKS = [mode for mode in Link if mode is not Link.NORMAL]
_STORE_MANNERS = [
    StoreBehavior.BUSY,
    StoreBehavior.RATE_LIMITED,
    StoreBehavior.DROPS_RESPONSES,
    StoreBehavior.HISTORY_LOST,
]


class Faults:
    """Brings faults about until cancelled; ``history`` tells which."""

    pauses_s = (0.1, 0.6)

    def __init__(self, random, fleet):
        self._random = random
        self._fleet = fleet
        self.history = []

    def kinds(self):
        return (
            self._kill,
            self._pause,
            self._stop_planned,
            self._link_to_replica,
            self._link_to_store,
            self._reset_all,
            self._replica_misbehaves,
            self._store_misbehaves,
            self._name_weights,
            self._withdraw_key,
            self._replica_leaves,
        )

    async def run(self):
        kinds = self.kinds()
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._random.uniform(*self.pauses_s))
                kind = self._random.choice(kinds)
                self.history.append(kind.__name__)
                group.create_task(kind())

    def _span(self):
        return asyncio.sleep(self._random.uniform(0.3, 1.5))

    def _free_node(self):
        """Return a node with no fault of its own now, none if all have one."""
        free = [node for node in self._fleet.nodes if node not in self._fleet.struck]
        return self._random.choice(free) if len(free) > 1 else None

    async def _kill(self):
        await self._strike(signal.SIGKILL)

    async def _stop_planned(self):
        await self._strike(signal.SIGTERM)

    async def _strike(self, number):
        node = self._free_node()
        if node is None:
            return
        self._fleet.struck.add(node)
        # Before it listens a process has nothing to end in order.
        is_up = await node.is_ready()
        node.signal(number)
        code = await node.ended()
        if number == signal.SIGTERM and is_up and code != 0:
            self._fleet.broken.append(f"{node.name} ended with {code} on SIGTERM")
        await self._span()
        await node.start()
        self._fleet.struck.discard(node)

    async def _pause(self):
        node = self._free_node()
        if node is None:
            return
        self._fleet.struck.add(node)
        node.signal(signal.SIGSTOP)
        await self._span()
        node.signal(signal.SIGCONT)
        self._fleet.struck.discard(node)

    async def _link_to_replica(self):
        await self._spoil(self._random.choice(self._fleet.replica_links))

    async def _link_to_store(self):
        await self._spoil(self._random.choice(self._fleet.store_links))

    async def _spoil(self, link):
        link.mode = self._random.choice(_LINKS)
        await self._span()
        if link.mode in (Link.SILENT, Link.ONE_WAY):
            # Open connections stay silent for good while new ones work.
            link.mode = Link.NORMAL
            return
        link.mode = Link.NORMAL

    async def _reset_all(self):
        links = [*self._fleet.replica_links, *self._fleet.store_links]
        self._random.choice(links).reset_all()

    async def _replica_misbehaves(self):
        replica = self._random.choice(self._fleet.replicas)
        replica.behaviors = [self._random.choice(_MANNERS) for _ in range(6)]

    async def _store_misbehaves(self):
        self._fleet.store.behavior = self._random.choice(_STORE_MANNERS)
        await self._span()
        self._fleet.store.behavior = StoreBehavior.NORMAL

    async def _name_weights(self):
        self._fleet.version += 1
        self._fleet.operator.set_weights_version("m", self._fleet.version)

    async def _withdraw_key(self):
        self._fleet.withdraw_key()

    async def _replica_leaves(self):
        replica = self._random.choice(self._fleet.replicas)
        self._fleet.list_replica(replica, state="draining")
        await self._span()
        self._fleet.list_replica(replica)


class LaterFaults(Faults):
    """Kinds with draws of their own, so that earlier seeds bring what they brought."""

    pauses_s = (0.4, 2.0)

    def kinds(self):
        return (self._drill, self._replica_names_a_limit)

    async def _drill(self):
        """The store comes back from an older copy, once or twice in a row."""
        for _ in range(self._random.choice((1, 1, 2))):
            lost = self._random.randrange(60)
            at_once = self._random.random() < 0.5
            self._fleet.store.restore_before_last_writes(lost, rewrite_lost=at_once)
            await asyncio.sleep(self._random.uniform(0.0, 0.4))
            self._fleet.store.rewrite_lost_rows()

    async def _replica_names_a_limit(self):
        replica = self._random.choice(self._fleet.replicas)
        replica.notices = [("Server-Limit", self._random.choice(("2", "8.5", "0")))]
        await self._span()
        replica.notices = []
