"""The KV stores that the configuration names, each followed by a task."""

import asyncio
from collections.abc import Callable, Coroutine

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

Run = Coroutine[None, None, None]


class StoreFollowing:
    """Starts and ends followers as configurations come and go.

    ``guarded`` wraps what runs as a task of its own.
    """

    def __init__(
        self,
        planner: PartPlanner,
        *,
        api: ReplicaApi,
        clock: Clock,
        aggregators: Aggregators,
        guarded: Callable[[Run], Run],
    ) -> None:
        self._planner = planner
        self._clock = clock
        self._guarded = guarded
        self._follower_by_address: dict[str, StoreFollower] = {}
        self._task_by_address: dict[str, asyncio.Task[None]] = {}
        self._shared = SharedStoreReader(
            api, clock=clock, aggregators=aggregators, index_of=self._index_of
        )
        self._telling = StorePublisher(
            clock=clock,
            aggregators=aggregators,
            followers=lambda: self._follower_by_address.items(),
        )

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the tasks that run now."""
        return list(self._task_by_address.values())

    async def run(self, link: PeerLink) -> None:
        """Tell other nodes what followers read, and hear of theirs."""
        self._shared.use(link)
        await self._telling.run(link)

    def take(self, configuration: Configuration) -> None:
        """Follow the stores that a configuration names, and no others."""
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

    def _on_read(self, address: str, news: KvUpdate) -> None:
        self._shared.on_read(address, news)
        self._telling.on_read(address, news)

    def _index_of(self, address: str) -> StoreIndex | None:
        indexes = self._planner.indexes()
        return next((item for item in indexes if item.address == address), None)

    def _follow(self, address: str, index: StoreIndex) -> None:
        follower = StoreFollower(
            index,
            reader=self._shared,
            clock=self._clock,
            mode=self._telling.mode,
            on_read=self._on_read,
        )
        self._follower_by_address[address] = follower
        run = self._guarded(follower.run())
        self._task_by_address[address] = asyncio.create_task(run)
