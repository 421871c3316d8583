"""Decodes the rows that operators write: configuration, weights and evacuations."""

import logging

import msgspec

from fireflyward.decoding import (
    BoundedNumber,
    Count,
    HeaderText,
    Name,
    NonNegativeNumber,
    OptionalAddress,
    SmallNumber,
    decode_json,
    to_int,
)
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

log = logging.getLogger("fireflyward.platform")

_MS_PER_S = 1_000
_KIND_BY_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class _KebabStruct(msgspec.Struct, rename="kebab"):
    """A struct whose field names on the wire are in kebab case.

    Unknown fields are ignored.
    """


class _Share(_KebabStruct):
    service: Name
    weight: SmallNumber = 1


class _Route(_KebabStruct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: SmallNumber
    service: Name = ""
    traffic_split: list[_Share] = []
    target_latency_ms: SmallNumber = 0
    priority: SmallNumber = 5
    max_attempts: SmallNumber = 1
    allow_anonymous: bool = False
    # Despite its name, this doesn't bind a caller to one replica: it means that the
    # requests list the parts of their prompt.
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: SmallNumber = 0


class _Model(_KebabStruct):
    name: Name


class _Engine(_KebabStruct):
    slots: SmallNumber
    kv_capacity_tokens: NonNegativeNumber
    kv_token_bytes: NonNegativeNumber = 0
    models: list[_Model] = []


class _Service(_KebabStruct):
    name: Name
    max_connections: SmallNumber = 0
    # How long a replica is cold after its start, and how many requests per second
    # it sustains during that time.
    cold_start_s: SmallNumber = 0
    cold_per_s: SmallNumber = 0
    engine: _Engine | None = None
    # A service with this address is a KV cache store and has no replicas.
    kv_store_addr: OptionalAddress = ""
    zone: Name = ""
    kv_capacity_tokens: NonNegativeNumber = 0
    link_mbps: SmallNumber = 0
    managed: bool = False
    first_ms: SmallNumber = msgspec.field(default=0, name="first_ms")


class _Limits(_KebabStruct):
    max_header_bytes: NonNegativeNumber = 16_384
    max_body_bytes: NonNegativeNumber = 4_194_304
    header_timeout_ms: SmallNumber = 3_000
    idle_timeout_ms: SmallNumber = 15_000


class _Account(_KebabStruct):
    name: HeaderText
    api_keys: list[str] = []
    priority: SmallNumber | None = None
    isolated: bool = False
    # Fair admission handles weights that are not positive.
    weight: BoundedNumber | None = None


class _Configuration(_KebabStruct):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Account] | None = None


class _WeightTarget(_KebabStruct):
    model: Name
    version: Count


class _Evacuation(_KebabStruct):
    """An object without fields; the key of the row names the failure domain."""


def decode_configuration(value: bytes) -> Configuration | None:
    """Decode the configuration row; return None if it is malformed."""
    raw = decode_json(value, _Configuration)
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
            to_int(raw.limits.max_header_bytes),
            to_int(raw.limits.max_body_bytes),
            to_int(raw.limits.header_timeout_ms),
            to_int(raw.limits.idle_timeout_ms),
        ),
        accounts=accounts,
    )


def decode_weight_target(value: bytes) -> WeightTarget | None:
    """Decode the row that names a model's new weights; return None if malformed."""
    raw = decode_json(value, _WeightTarget)
    return None if raw is None else WeightTarget(raw.model, raw.version)


def decode_evacuation(failure_domain: str, value: bytes) -> Evacuation | None:
    """Decode the row that evacuates a failure domain; return None if malformed."""
    if not failure_domain or decode_json(value, _Evacuation) is None:
        return None
    return Evacuation(failure_domain)


def _account(raw: _Account) -> ClientAccount:
    priority = None if raw.priority is None else to_int(raw.priority)
    return ClientAccount(
        raw.name, tuple(raw.api_keys), priority, raw.isolated, raw.weight
    )


def _route(raw: _Route) -> Route:
    kind = _KIND_BY_NAME.get(raw.kind)
    if kind is None:
        # Running a request at most once is safe for any kind of route.
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
        timeout_ms=to_int(raw.timeout_ms),
        objective_ms=to_int(raw.target_latency_ms),
        priority=to_int(raw.priority),
        max_attempts=to_int(raw.max_attempts),
        shares=tuple(shares),
        allows_anonymous=raw.allow_anonymous,
        has_prompt_parts=raw.sticky,
        is_resumable=raw.resumable,
        pause_ms=to_int(raw.gap_target_ms),
    )


def _service(raw: _Service) -> Service:
    engine = store = None
    if raw.engine is not None:
        engine = EngineShape(
            to_int(raw.engine.slots),
            to_int(raw.engine.kv_capacity_tokens),
            to_int(raw.engine.kv_token_bytes),
            tuple(model.name for model in raw.engine.models),
        )
    if raw.kv_store_addr:
        store = KvStore(
            raw.kv_store_addr,
            raw.zone,
            to_int(raw.kv_capacity_tokens),
            raw.link_mbps,
            raw.first_ms,
            raw.managed,
        )
    return Service(
        raw.name,
        to_int(raw.max_connections),
        engine,
        store,
        cold_start_ms=to_int(raw.cold_start_s * _MS_PER_S),
        cold_per_second=float(raw.cold_per_s),
    )
