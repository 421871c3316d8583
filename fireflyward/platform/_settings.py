"""Decodes the settings file of a process; the deploy template defines its JSON."""

from pathlib import Path

import msgspec

from fireflyward.decoding import (
    IPv4,
    ListenAddress,
    Name,
    NonNegativeNumber,
    Port,
    ReplicaAddress,
    to_int,
)
from fireflyward.deployment import Bounds, FleetSettings, StoreLimits

SETTINGS_VARIABLE = "FIREFLYWARD_BOOT"
_MS_PER_S = 1_000


class BadSettings(Exception):
    """The settings file is missing, or a field is missing or wrong."""


class IncompleteSettings(BadSettings):
    """The settings file is missing, empty or cut, as while it is being written."""


class _KebabStruct(msgspec.Struct, rename="kebab"):
    """A struct whose field names on the wire are in kebab case.

    Unknown fields are ignored.
    """


class _Listen(_KebabStruct):
    front: ListenAddress
    readiness: ListenAddress


class _MachineLimits(_KebabStruct):
    memory_mb: NonNegativeNumber
    link_mbps: NonNegativeNumber
    max_fds: NonNegativeNumber = 4_096


class _Bounds(_KebabStruct):
    # Deployments omit the bounds of rules that don't apply to them; the defaults are
    # the values of the smallest deployments.
    contact_ms: NonNegativeNumber = 3_000
    drain_ms: NonNegativeNumber = 2_000
    grace_s: NonNegativeNumber = 8
    config_apply_ms: NonNegativeNumber = 2_000
    revoke_ms: NonNegativeNumber = 5_000
    fail_closed: bool = True
    retry_budget_ratio: NonNegativeNumber = 0.2
    budget_window_s: NonNegativeNumber = 10
    budget_extra: NonNegativeNumber = 50
    lease_ms: NonNegativeNumber = 3_000
    thaw_slack_ms: NonNegativeNumber = 300
    version_ms: NonNegativeNumber = 12_000
    reuse_window_s: NonNegativeNumber = 20
    require_fencing: bool = False


class _Platform(_KebabStruct):
    address: ReplicaAddress
    writes_per_s: NonNegativeNumber
    reads_per_s: NonNegativeNumber
    history_s: NonNegativeNumber


class _Settings(_KebabStruct):
    node_name: Name
    ip: IPv4
    zone: Name
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[Port, Port]
    limits: _MachineLimits
    heartbeat_ms: NonNegativeNumber
    bounds: _Bounds
    platform: _Platform


def load_settings(path: str) -> FleetSettings:
    """Read and validate the settings file; raise ``BadSettings`` with the reason."""
    try:
        raw = msgspec.json.decode(Path(path).read_bytes(), type=_Settings)
    except OSError as error:
        raise IncompleteSettings(f"{path}: {error.strerror}") from error
    except msgspec.ValidationError as error:
        raise BadSettings(f"{path}: {error}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise IncompleteSettings(f"{path}: {error}") from error
    except (ValueError, RecursionError) as error:
        raise BadSettings(f"{path}: {error}") from error
    problem = _find_problem(raw)
    if problem is not None:
        raise BadSettings(f"{path}: {problem}")
    first_port, last_port = raw.internal_ports
    return FleetSettings(
        node=raw.node_name,
        ip=raw.ip,
        failure_domain=raw.zone,
        failure_domains=tuple(sorted(raw.zones)),
        callers_address=raw.listen.front,
        readiness_address=raw.listen.readiness,
        peer_ports=(to_int(first_port), to_int(last_port)),
        memory_mb=to_int(raw.limits.memory_mb),
        max_descriptors=to_int(raw.limits.max_fds),
        link_mbps=raw.limits.link_mbps,
        heartbeat_ms=to_int(raw.heartbeat_ms),
        bounds=_bounds(raw.bounds),
        store=StoreLimits(
            address=raw.platform.address,
            writes_per_second=raw.platform.writes_per_s,
            reads_per_second=raw.platform.reads_per_s,
            history_ms=to_int(raw.platform.history_s * _MS_PER_S),
        ),
    )


def _bounds(raw: _Bounds) -> Bounds:
    return Bounds(
        contact_ms=to_int(raw.contact_ms),
        drain_ms=to_int(raw.drain_ms),
        grace_ms=to_int(raw.grace_s * _MS_PER_S),
        config_apply_ms=to_int(raw.config_apply_ms),
        revoke_ms=to_int(raw.revoke_ms),
        fails_closed=raw.fail_closed,
        retry_ratio=raw.retry_budget_ratio,
        retry_window_ms=to_int(raw.budget_window_s * _MS_PER_S),
        retry_extra=to_int(raw.budget_extra),
        lease_ms=to_int(raw.lease_ms),
        thaw_slack_ms=to_int(raw.thaw_slack_ms),
        version_ms=to_int(raw.version_ms),
        reuse_window_ms=to_int(raw.reuse_window_s * _MS_PER_S),
        requires_fencing=raw.require_fencing,
    )


def _find_problem(raw: _Settings) -> str | None:
    """Return what is wrong with the values of valid types, with the field's name."""
    first_port, last_port = raw.internal_ports
    # The second port is for metrics.
    if first_port >= last_port:
        return f"at least two ports are needed - at `$.internal-ports`: {first_port}"
    if raw.limits.memory_mb < 1:
        return "a node cannot run without memory - at `$.limits.memory-mb`"
    if raw.heartbeat_ms < 1:
        return "replicas need time between heartbeats - at `$.heartbeat-ms`"
    return None
