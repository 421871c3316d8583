"""The operators' configuration: routes, services, client accounts and limits."""

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """Which requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets a share of a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services, time limits and priority of the requests of a host and path prefix.

    ``timeout_ms`` is the longest time that a caller waits. ``objective_ms`` is the
    target latency: a later response has less value. ``pause_ms`` is the target for
    the longest pause between two events of a stream. Priority 0 is the most urgent.
    ``max_attempts`` limits the number of replicas that are tried.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    allows_anonymous: bool = False
    has_prompt_parts: bool = False
    is_resumable: bool = False
    pause_ms: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run on a second replica after the first."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Capacity and models of a model service's replicas; sizes are for one replica."""

    slots: int
    kv_tokens: int
    kv_bytes_per_token: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class KvStore:
    """A KV cache store with its capacity ``kv_tokens`` and its link's bandwidth."""

    address: str
    failure_domain: str
    kv_tokens: int
    link_mbps: float
    first_byte_ms: float = 0.0
    never_evicts: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of replicas, or a single KV cache store if ``kv_store`` is set.

    A replica is cold for ``cold_start_ms`` after its start and whenever it reports
    so. A cold replica sustains ``cold_per_second`` requests per second and may crash
    under more; 0 means that there is no such limit.
    """

    name: str
    max_connections: int = 0
    engine: EngineShape | None = None
    kv_store: KvStore | None = None
    cold_start_ms: int = 0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of callers' requests and on the time of their connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; an isolated one shares no KV cache with other accounts.

    ``weight`` is its part of a service that lacks capacity, relative to other accounts;
    None, which counts as 1, if the operator states none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False
    weight: float | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete version of the configuration.

    ``accounts`` is None if the deployment has no client accounts; requests then need
    no key.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: Limits = field(default_factory=Limits)
    accounts: tuple[ClientAccount, ...] | None = None

    @property
    def weighs_accounts(self) -> bool:
        """Return whether the operator states the weight of any client account."""
        return any(account.weight is not None for account in self.accounts or ())
