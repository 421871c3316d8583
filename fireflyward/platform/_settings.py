"""The settings file of a process, as the deploy template lays it out (JSON)."""

from pathlib import Path

import msgspec

from fireflyward.deployment import Bounds, FleetSettings, StoreLimits

from ._numbers import Figure, whole

SETTINGS_VARIABLE = "FIREFLYWARD_BOOT"
_MS_PER_S = 1_000


class BadSettings(Exception):
    """The settings file is missing or has a wrong or missing field."""


class _Dashed(msgspec.Struct, rename="kebab"):
    """Field names on the wire have dashes; unknown fields are ignored."""


class _Listen(_Dashed):
    front: str
    readiness: str


class _MachineLimits(_Dashed):
    memory_mb: Figure
    link_mbps: Figure


class _Bounds(_Dashed):
    # Rules whose contract is not in force have no figure; these fall back to the
    # figures of the smallest deployments.
    contact_ms: Figure = 3_000
    drain_ms: Figure = 2_000
    grace_s: Figure = 8
    config_apply_ms: Figure = 2_000
    revoke_ms: Figure = 5_000
    fail_closed: bool = True
    retry_budget_ratio: Figure = 0.2
    budget_window_s: Figure = 10
    budget_extra: Figure = 50
    lease_ms: Figure = 3_000
    thaw_slack_ms: Figure = 300
    version_ms: Figure = 12_000
    reuse_window_s: Figure = 20
    require_fencing: bool = False


class _Platform(_Dashed):
    address: str
    writes_per_s: Figure
    reads_per_s: Figure
    history_s: Figure


class _Settings(_Dashed):
    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[Figure, Figure]
    limits: _MachineLimits
    heartbeat_ms: Figure
    bounds: _Bounds
    platform: _Platform


def load_settings(path: str) -> FleetSettings:
    """Read and check the settings file; raise ``BadSettings`` with the reason."""
    try:
        raw = msgspec.json.decode(Path(path).read_bytes(), type=_Settings)
    except OSError as error:
        raise BadSettings(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise BadSettings(f"{path}: {error}") from error
    first_port, last_port = raw.internal_ports
    return FleetSettings(
        node=raw.node_name,
        ip=raw.ip,
        failure_domain=raw.zone,
        failure_domains=tuple(sorted(raw.zones)),
        callers_address=raw.listen.front,
        readiness_address=raw.listen.readiness,
        peer_ports=(whole(first_port), whole(last_port)),
        memory_mb=whole(raw.limits.memory_mb),
        link_mbps=raw.limits.link_mbps,
        heartbeat_ms=whole(raw.heartbeat_ms),
        bounds=_bounds(raw.bounds),
        store=StoreLimits(
            address=raw.platform.address,
            writes_per_second=raw.platform.writes_per_s,
            reads_per_second=raw.platform.reads_per_s,
            history_ms=whole(raw.platform.history_s * _MS_PER_S),
        ),
    )


def _bounds(raw: _Bounds) -> Bounds:
    return Bounds(
        contact_ms=whole(raw.contact_ms),
        drain_ms=whole(raw.drain_ms),
        grace_ms=whole(raw.grace_s * _MS_PER_S),
        config_apply_ms=whole(raw.config_apply_ms),
        revoke_ms=whole(raw.revoke_ms),
        fails_closed=raw.fail_closed,
        retry_ratio=raw.retry_budget_ratio,
        retry_window_ms=whole(raw.budget_window_s * _MS_PER_S),
        retry_extra=whole(raw.budget_extra),
        lease_ms=whole(raw.lease_ms),
        thaw_slack_ms=whole(raw.thaw_slack_ms),
        version_ms=whole(raw.version_ms),
        reuse_window_ms=whole(raw.reuse_window_s * _MS_PER_S),
        checks_fencing=raw.require_fencing,
    )
