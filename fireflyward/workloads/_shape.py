"""The sizes and speeds of the two deployments, for the replay."""

from dataclasses import dataclass, replace

from fireflyward.standins import EngineCosts

_GIGABYTE = 1_000_000_000
_MS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True)
class StoreShape:
    """One store VM: its capacity in blocks, and the rates of its link and its disk."""

    memory_blocks: int = 12_800
    disk_blocks: int = 102_400
    link_bytes_per_ms: float = 3.125 * _GIGABYTE / _MS_PER_SECOND
    disk_bytes_per_ms: float = 2.0 * _GIGABYTE / _MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Sizes and speeds of a deployment.

    The speeds are those of a large dense model: a replica prefills 4,000 tokens per
    second, a token needs 160 KB of KV data (10 MB for a block of 64 tokens), 40 GB
    of accelerator memory are available for KV data, and each store has a link of
    25 Gbit/s. ``compute_weight`` is the deployment's trade-off between the
    recomputed share and the wait of the current caller, as in ``PlacementCosts``.
    """

    name: str
    replicas: int
    failure_domains: tuple[str, ...]
    entry_nodes: int
    one_way_ms: float
    client_ms: float
    stores: int = 2
    compute_weight: float = 0.5
    block_bytes: int = 10_240_000
    engine: EngineCosts = EngineCosts(
        prefill_ms_per_token=0.25,
        decode_ms_per_token=25.0,
        max_running=16,
        cache_blocks=4_096,
    )
    store: StoreShape = StoreShape()

    def replica_domains(self) -> dict[str, str]:
        """Return each replica's failure domain."""
        domains = self.failure_domains
        return {
            f"replica-{index + 1}": domains[index % len(domains)]
            for index in range(self.replicas)
        }

    def with_memory(self, share: float) -> "DeploymentShape":
        """Return the deployment with a share of its memory and disk space, for CI."""
        store = replace(
            self.store,
            memory_blocks=int(self.store.memory_blocks * share),
            disk_blocks=int(self.store.disk_blocks * share),
        )
        blocks = int(self.engine.cache_blocks * share)
        engine = replace(self.engine, cache_blocks=blocks)
        return replace(self, engine=engine, store=store)

    def with_links(self, share: float) -> "DeploymentShape":
        """Return the deployment with a share of its links' rate."""
        rate = self.store.link_bytes_per_ms * share
        return replace(self, store=replace(self.store, link_bytes_per_ms=rate))

    def without_stores(self) -> "DeploymentShape":
        """Return the deployment without stores."""
        return replace(self, stores=0)


ANDINOS = DeploymentShape(
    name="andinos",
    replicas=6,
    failure_domains=("sala-norte", "sala-centro", "sala-sur"),
    entry_nodes=9,
    one_way_ms=0.5,
    client_ms=3.0,
)
NOTA_BIRLIK = DeploymentShape(
    name="nota-birlik",
    replicas=5,
    failure_domains=("ikitelli-a", "ikitelli-b", "gebze-1", "kartal-1"),
    entry_nodes=8,
    one_way_ms=1.5,
    client_ms=1.0,
)
