"""What a process of a fleet is told at its start."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the deployment promises to its users."""

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
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Where the platform's store is and how many calls all nodes may make."""

    address: str
    writes_per_second: float
    reads_per_second: float
    history_ms: int


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Everything that a process learns before it has spoken to anyone.

    Addresses are ``IP:PORT``. ``memory_mb`` is the limit past which the process is
    killed, ``link_mbps`` what the VM's link carries; ``heartbeat_ms`` is how
    often a replica renews its entry.
    """

    node: str
    ip: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    callers_address: str
    readiness_address: str
    peer_ports: tuple[int, int]
    memory_mb: int
    link_mbps: float
    heartbeat_ms: int
    bounds: Bounds
    store: StoreLimits
