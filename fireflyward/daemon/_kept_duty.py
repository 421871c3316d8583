"""Kept KV blocks on a node: its stores, its shards of the index, and the sweeps."""

import asyncio
import logging

from fireflyward.backing import Objects, Table
from fireflyward.bundles import Bundle, BundleHolder
from fireflyward.clock import Clock
from fireflyward.kept import (
    INDEX_STRIDE,
    BlockNames,
    EngineReader,
    NotSwept,
    PrefixIndex,
    PrefixTexts,
    ShardLookUp,
    StoreClient,
    StoreReader,
    StoreUnavailable,
    Sweeper,
    shards_held_by,
)
from fireflyward.leases import LeaseTask, contenders
from fireflyward.membership import Member, Members
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.routing import Router
from fireflyward.settings import Settings
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.supervision import BackgroundTasks
from fireflyward.upstreams import Broken, KvEngine

from ._kept_work import KeptWork
from ._node_io import NodeIO

log = logging.getLogger("fireflyward.daemon")

STORE = "store"
ENGINE = "engine"
_LISTING_PERIOD_MS = 1_000
_EVENTS_PERIOD_MS = 500
_EXPORT_PERIOD_MS = 250
_SWEEP_PERIOD_MS = 10_000
_FOLLOW_ALL_MAX_REPLICAS = 32


class KeptDuty:
    """Follows stores and engines; sweeps the stores whose lease this node holds."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        io: NodeIO,
        table: Table,
        objects: Objects,
        router: Router,
        metrics: Metrics,
        members: Members,
        link: PeerLink,
        holder: BundleHolder,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._clock = clock
        self._observe = observe
        self._io = io
        self._table = table
        self._router = router
        self._metrics = metrics
        self._members = members
        self._holder = holder
        self._observe = observe
        self._own_name = settings["node_name"]
        self.index = PrefixIndex()
        self.prefixes = PrefixTexts(objects, settings["kept_key"])
        self.store_by_name: dict[str, StoreClient] = {}
        self.url_by_store: dict[str, str] = {}
        self.kv_by_replica: dict[str, KvEngine] = {}
        self._store_reader_by_name: dict[str, StoreReader] = {}
        self._engine_reader_by_name: dict[str, EngineReader] = {}
        self._lease_by_store: dict[str, LeaseTask] = {}
        self._lease_run_by_store: dict[str, asyncio.Task[None]] = {}
        self._tasks = BackgroundTasks(clock=clock, metrics=metrics)
        self.work = KeptWork(
            clock=clock,
            router=router,
            metrics=metrics,
            names=BlockNames(settings["kept_key"]),
            look_up=ShardLookUp(link, self.index, self._domain_members),
            kv_by_replica=self.kv_by_replica,
            store_by_name=self.store_by_name,
            url_by_store=self.url_by_store,
            is_served=self._is_served,
            block_bytes=settings["kept_block_bytes"],
            observe=observe,
        )

    def start(self) -> None:
        """Start the periodic tasks."""
        for name, period_ms, step in (
            ("kept listings", _LISTING_PERIOD_MS, self.read_listings),
            ("kept events", _EVENTS_PERIOD_MS, self.read_events),
            ("kept exports", _EXPORT_PERIOD_MS, self.work.export_due),
            ("kept sweep", _SWEEP_PERIOD_MS, self.sweep),
        ):
            self._tasks.start_periodic(name, period_ms, step)

    async def stop(self) -> None:
        """Stop the periodic tasks; a later sweep frees what they left unfinished."""
        await self._tasks.cancel()

    def apply(self, bundle: Bundle) -> None:
        """Use the stores and the engines of a bundle from now on."""
        stores = {
            name: upstream
            for name, upstream in bundle.upstreams.items()
            if upstream.kind == STORE
        }
        for name in self.store_by_name.keys() - stores.keys():
            self._remove_store(name)
        for name, upstream in stores.items():
            if self.url_by_store.get(name) != upstream.url:
                self._add_store(name, upstream.url)
        self._connect_engines(bundle)
        followed = self._replicas_to_follow(bundle)
        for name in self._engine_reader_by_name.keys() - followed:
            del self._engine_reader_by_name[name]
            self.index.remove_holder(name)
        for name in followed - self._engine_reader_by_name.keys():
            self._engine_reader_by_name[name] = EngineReader(name)
        self.work.prefixes.followed = followed
        self.work.prefixes.store_names = frozenset(self.store_by_name)
        if self.store_by_name:
            self._router.set_estimate(self.work.placement)

    def _connect_engines(self, bundle: Bundle) -> None:
        """Create the clients of the engines' KV caches, if there is any store."""
        self.kv_by_replica.clear()
        if not self.store_by_name:
            return
        for name, upstream in bundle.upstreams.items():
            if upstream.kind == ENGINE:
                self.kv_by_replica[name] = self._io.make_kv_engine(upstream)

    async def read_listings(self) -> None:
        """Update this node's shards from the listings of the stores."""
        shards = self._shards()
        for name, store in list(self.store_by_name.items()):
            reader = self._store_reader_by_name[name]
            while True:
                listing = await store.list(reader.query(shards))
                if isinstance(listing, StoreUnavailable):
                    break
                if not reader.apply(listing, self.index):
                    break
        self._metrics.gauge("kept_index_entries", len(self.index))

    async def read_events(self) -> None:
        """Update this node's shards from the engines' cache events."""
        shards = self._shards()
        readers = list(self._engine_reader_by_name.values())
        await asyncio.gather(*(self._read_engine(item, shards) for item in readers))

    async def sweep(self) -> None:
        """Sweep every store whose lease this node holds."""
        for name, lease in list(self._lease_by_store.items()):
            store = self.store_by_name.get(name)
            if store is None or lease.claim() is None:
                continue
            result = await Sweeper(lease.claim, observe=self._observe).sweep(store)
            if isinstance(result, NotSwept):
                log.info("daemon: sweep ended early, %s", result.detail)
                continue
            self._metrics.count("kept_garbage_total", result.garbage, store=name)
            self._metrics.count("kept_evicted_total", result.evicted, store=name)

    async def _read_engine(self, reader: EngineReader, shards: frozenset[int]) -> None:
        engine = self.kv_by_replica.get(reader.name)
        if engine is None:
            return
        after = reader.start_after(self._clock.now_ms(), shards)
        events = await engine.cache_events(after, stride=INDEX_STRIDE)
        if not isinstance(events, Broken):
            reader.apply(events, self.index)

    def _add_store(self, name: str, url: str) -> None:
        if name in self.store_by_name:
            self._remove_store(name)
        self.store_by_name[name] = self._io.make_store(name, url)
        self.url_by_store[name] = url
        self._store_reader_by_name[name] = StoreReader(name)
        lease = LeaseTask(
            f"sweep/{name}",
            clock=self._clock,
            table=self._table,
            holder=self._own_name,
            contends=lambda: self._contends(name),
            observe=self._observe,
        )
        self._lease_by_store[name] = lease
        self._lease_run_by_store[name] = self._tasks.start(
            f"lease sweep/{name}", lease.run
        )

    def _remove_store(self, name: str) -> None:
        """Remove a store that the bundle no longer has, without a request to it."""
        self.index.remove_holder(name)
        del self.store_by_name[name], self.url_by_store[name]
        del self._store_reader_by_name[name], self._lease_by_store[name]
        self._lease_run_by_store.pop(name).cancel()

    def _contends(self, store: str) -> bool:
        names = [member.name for member in self._members.all_live()]
        return self._own_name in contenders(f"sweep/{store}", names)

    def _replicas_to_follow(self, bundle: Bundle) -> frozenset[str]:
        """Return the replicas whose cache events this node reads.

        These are all replicas in a small deployment, and otherwise those of the node's
        own failure domain.
        """
        if len(self.kv_by_replica) <= _FOLLOW_ALL_MAX_REPLICAS:
            return frozenset(self.kv_by_replica)
        own_domain = self._members.own.failure_domain
        return frozenset(
            name
            for name in self.kv_by_replica
            if bundle.upstreams[name].failure_domain == own_domain
        )

    def _shards(self) -> frozenset[int]:
        shards = shards_held_by(self._members.own, self._domain_members())
        self.index.retain_shards(shards)
        return shards

    def _domain_members(self) -> tuple[Member, ...]:
        return self._members.live_in(self._members.own.failure_domain)

    def _is_served(self, model: str, version: str) -> bool:
        """Return whether the bundle in force assigns this version to any request."""
        bundle = self._holder.bundle
        if bundle is None or model not in bundle.models:
            return False
        return version in _versions_of(bundle, model)


def _versions_of(bundle: Bundle, model: str) -> set[str]:
    versions = {bundle.models[model].version}
    for account in bundle.accounts.values():
        pins = [account.versions, *(item.versions for item in account.callers.values())]
        versions.update(pin[model] for pin in pins if model in pin)
    return versions
