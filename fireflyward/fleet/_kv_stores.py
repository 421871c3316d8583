"""Followers of the KV cache stores that the configuration names."""

import asyncio
from collections.abc import Callable

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.deployment import Configuration
from fireflyward.peers import PeerLink
from fireflyward.platform import ReplicaApi
from fireflyward.prefixes import (
    KvUpdate,
    PartPlanner,
    SharedStoreReader,
    StoreFollower,
    StoreIndex,
    StorePublisher,
)
from fireflyward.supervision import BackgroundTasks


class KvStoreFollowers:
    """Starts and stops the follower of each KV cache store as configurations change."""

    def __init__(
        self,
        planner: PartPlanner,
        *,
        api: ReplicaApi,
        clock: Clock,
        aggregators: Aggregators,
        tasks: BackgroundTasks,
        lost_ms: Callable[[int], int],
    ) -> None:
        """``lost_ms`` returns for how long this process did not run since a time."""
        self._lost_ms = lost_ms
        self._planner = planner
        self._clock = clock
        self._tasks = tasks
        self._follower_by_address: dict[str, StoreFollower] = {}
        self._task_by_address: dict[str, asyncio.Task[None]] = {}
        self._shared = SharedStoreReader(
            api, clock=clock, aggregators=aggregators, index_of=self._index_of
        )
        self._publisher = StorePublisher(
            clock=clock,
            aggregators=aggregators,
            followers=lambda: self._follower_by_address.items(),
        )

    async def run(self, link: PeerLink) -> None:
        """Publish what the followers read to other nodes, and receive their updates."""
        self._shared.use(link)
        await self._publisher.run(link)

    def set_configuration(self, configuration: Configuration) -> None:
        """Follow exactly the stores that a configuration names."""
        services = configuration.service_by_name.values()
        self._planner.set_stores(
            service.kv_store for service in services if service.kv_store
        )
        wanted = {index.address: index for index in self._planner.indexes()}
        for address in self._follower_by_address.keys() - wanted.keys():
            del self._follower_by_address[address]
            self._task_by_address.pop(address).cancel()
        for address in wanted.keys() - self._follower_by_address.keys():
            self._follow(address, wanted[address])

    def _on_read(self, address: str, update: KvUpdate) -> None:
        self._shared.on_read(address, update)
        self._publisher.on_read(address, update)

    def _index_of(self, address: str) -> StoreIndex | None:
        indexes = self._planner.indexes()
        return next((item for item in indexes if item.address == address), None)

    def _follow(self, address: str, index: StoreIndex) -> None:
        follower = StoreFollower(
            index,
            reader=self._shared,
            clock=self._clock,
            mode=self._publisher.mode,
            on_read=self._on_read,
            lost_ms=self._lost_ms,
        )
        self._follower_by_address[address] = follower
        name = f"KV store {address}"
        self._task_by_address[address] = self._tasks.start(name, follower.run)
