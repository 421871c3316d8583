"""The settings that a process of a fleet reads at its start."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and ratios that the deployment guarantees to its users."""

    contact_ms: int
    drain_ms: int
    grace_ms: int
    config_apply_ms: int
    revoke_ms: int
    fails_closed: bool
    retry_ratio: float
    retry_window_ms: int
    retry_extra: int
    lease_ms: int
    thaw_slack_ms: int
    version_ms: int
    reuse_window_ms: int
    requires_fencing: bool


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Address of the platform's store, and limits on the calls of all nodes."""

    address: str
    writes_per_second: float
    reads_per_second: float
    history_ms: int


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings of a process, from its settings file.

    Addresses are ``IP:PORT``. The process is killed if it uses more than
    ``memory_mb``, and can open ``max_descriptors`` files and sockets. ``link_mbps`` is
    the bandwidth of the VM's link. ``heartbeat_ms`` is the interval at which a replica
    renews its entry.
    """

    node: str
    ip: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    callers_address: str
    readiness_address: str
    peer_ports: tuple[int, int]
    memory_mb: int
    max_descriptors: int
    link_mbps: float
    heartbeat_ms: int
    bounds: Bounds
    store: StoreLimits
