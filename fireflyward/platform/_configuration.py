"""The rows that operators write: configuration and versions of weights."""

import logging

import msgspec

from fireflyward.deployment import (
    ClientAccount,
    Configuration,
    EngineShape,
    Evacuation,
    KvStore,
    Limits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    WeightTarget,
)

from ._decoding import decoded
from ._numbers import Figure, whole

log = logging.getLogger("fireflyward.platform")

_MS_PER_S = 1_000
_KIND_BY_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class _Dashed(msgspec.Struct, rename="kebab"):
    """Field names on the wire have dashes; unknown fields are ignored."""


class _Share(_Dashed):
    service: str
    weight: Figure = 1


class _Route(_Dashed):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Figure
    service: str = ""
    traffic_split: list[_Share] = []
    target_latency_ms: Figure = 0
    priority: Figure = 5
    max_attempts: Figure = 1
    allow_anonymous: bool = False
    # Says that requests carry the parts of their prompt, not that a caller keeps
    # to one replica.
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: Figure = 0


class _Model(_Dashed):
    name: str


class _Engine(_Dashed):
    slots: Figure
    kv_capacity_tokens: Figure
    kv_token_bytes: Figure = 0
    models: list[_Model] = []


class _Service(_Dashed):
    name: str
    max_connections: Figure = 0
    # How long a replica is cold after its start, and what it bears meanwhile.
    cold_start_s: Figure = 0
    cold_per_s: Figure = 0
    engine: _Engine | None = None
    # A service with this address is a store of KV cache and has no replicas.
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity_tokens: Figure = 0
    link_mbps: Figure = 0
    managed: bool = False
    first_ms: Figure = msgspec.field(default=0, name="first_ms")


class _Limits(_Dashed):
    max_header_bytes: Figure = 16_384
    max_body_bytes: Figure = 4_194_304
    header_timeout_ms: Figure = 3_000
    idle_timeout_ms: Figure = 15_000


class _Account(_Dashed):
    name: str
    api_keys: list[str] = []
    priority: Figure | None = None
    isolated: bool = False


class _Configuration(_Dashed):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Account] | None = None


class _WeightTarget(_Dashed):
    model: str
    version: int


class _Evacuation(_Dashed):
    """An object without fields; the row's key names the failure domain."""


def decode_configuration(value: bytes) -> Configuration | None:
    """Decode the configuration row; None for bytes that are no configuration."""
    raw = decoded(value, _Configuration)
    if raw is None:
        return None
    accounts = None
    if raw.tenants is not None:
        accounts = tuple(_account(tenant) for tenant in raw.tenants)
    return Configuration(
        version=raw.version,
        routes=tuple(_route(route) for route in raw.routes),
        service_by_name={item.name: _service(item) for item in raw.services},
        limits=Limits(
            whole(raw.limits.max_header_bytes),
            whole(raw.limits.max_body_bytes),
            whole(raw.limits.header_timeout_ms),
            whole(raw.limits.idle_timeout_ms),
        ),
        accounts=accounts,
    )


def decode_weight_target(value: bytes) -> WeightTarget | None:
    """Decode the row that names new weights of a model; None if it is none."""
    raw = decoded(value, _WeightTarget)
    return None if raw is None else WeightTarget(raw.model, raw.version)


def decode_evacuation(failure_domain: str, value: bytes) -> Evacuation | None:
    """Decode the row that evacuates a failure domain; None if it is none."""
    if not failure_domain or decoded(value, _Evacuation) is None:
        return None
    return Evacuation(failure_domain)


def _account(raw: _Account) -> ClientAccount:
    priority = None if raw.priority is None else whole(raw.priority)
    return ClientAccount(raw.name, tuple(raw.api_keys), priority, raw.isolated)


def _route(raw: _Route) -> Route:
    kind = _KIND_BY_NAME.get(raw.kind)
    if kind is None:
        # Running it once at most is safe for any kind.
        log.warning("platform: route %s has unknown kind %s", raw.name, raw.kind)
        kind = RouteKind.NON_IDEMPOTENT
    shares = [ServiceShare(item.service, item.weight) for item in raw.traffic_split]
    if not shares:
        shares = [ServiceShare(raw.service, 1)]
    return Route(
        name=raw.name,
        host=raw.host,
        path_prefix=raw.path_prefix,
        kind=kind,
        timeout_ms=whole(raw.timeout_ms),
        objective_ms=whole(raw.target_latency_ms),
        priority=whole(raw.priority),
        max_attempts=whole(raw.max_attempts),
        shares=tuple(shares),
        allows_anonymous=raw.allow_anonymous,
        has_prefixes=raw.sticky,
        is_resumable=raw.resumable,
        pause_ms=whole(raw.gap_target_ms),
    )


def _service(raw: _Service) -> Service:
    engine = store = None
    if raw.engine is not None:
        engine = EngineShape(
            whole(raw.engine.slots),
            whole(raw.engine.kv_capacity_tokens),
            whole(raw.engine.kv_token_bytes),
            tuple(model.name for model in raw.engine.models),
        )
    if raw.kv_store_addr:
        store = KvStore(
            raw.kv_store_addr,
            raw.zone,
            whole(raw.kv_capacity_tokens),
            raw.link_mbps,
            raw.first_ms,
            raw.managed,
        )
    return Service(
        raw.name,
        whole(raw.max_connections),
        engine,
        store,
        cold_start_ms=whole(raw.cold_start_s * _MS_PER_S),
        cold_per_second=float(raw.cold_per_s),
    )
