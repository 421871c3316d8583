"""What operators have put in force: routes, services, client accounts, limits."""

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """What may be repeated of a request on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes ``weight`` parts of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they may cost.

    ``timeout_ms`` is the longest time that a caller is kept waiting,
    ``objective_ms`` the latency in which an answer has its full worth,
    ``pause_ms`` the longest pause between two events of a stream that is on time.
    ``priority`` 0 is the most urgent; ``max_attempts`` counts replicas.
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
    has_prefixes: bool = False
    is_resumable: bool = False
    pause_ms: int = 0

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run on a second replica after the first."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineShape:
    """What the replicas of a model service hold: all sizes are for one replica."""

    slots: int
    kv_tokens: int
    kv_bytes_per_token: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class KvStore:
    """A store of KV cache: ``kv_tokens`` is its room, ``link_mbps`` its link."""

    address: str
    failure_domain: str
    kv_tokens: int
    link_mbps: float
    first_byte_ms: float = 0.0
    never_evicts: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of replicas, or with ``kv_store`` one store of KV cache.

    A replica is cold for ``cold_start_ms`` after its start and whenever it says so;
    it then bears ``cold_per_second`` requests and may crash under more. With 0 there
    is no such limit.
    """

    name: str
    max_connections: int = 0
    engine: EngineShape | None = None
    kv_store: KvStore | None = None
    cold_start_ms: int = 0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long its connection may take or idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; an isolated one shares no KV cache with any other."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole version of the configuration.

    ``accounts`` is None where the deployment knows no client accounts; requests
    then need no key.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: Limits = field(default_factory=Limits)
    accounts: tuple[ClientAccount, ...] | None = None
