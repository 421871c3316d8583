"""Decides by the newest known configuration whether a request may run."""

import hashlib
from dataclasses import dataclass

from fireflyward.deployment import ClientAccount, Configuration, Route
from fireflyward.outcomes import NotRun, Reason

_DIGEST_BYTES = 8
# A configuration that is older than this may lack a route or a key that was added
# meanwhile, so their absence is no ground for a final refusal. The feed confirms
# the configuration about every two seconds.
_CERTAIN_MS = 2_900
# Callers of a node without contact to the store come back after this long; by
# then the balancer has taken a node out that says it is not ready.
_RETRY_MS = 500
# Kept from the time after which a key's withdrawal must be obeyed: the way of a
# request from the caller to the replica, and a node that runs slowly.
_REVOCATION_MARGIN_MS = 400


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may run: on this route, at this service, for this account.

    ``kv_tokens`` is the memory of each of the service's replicas, 0 if it has none.
    """

    route: Route
    service: str
    account: ClientAccount | None
    configuration_version: int
    kv_tokens: int = 0

    @property
    def priority(self) -> int:
        """Return the rank that counts: the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class RouteTable:
    """Holds one configuration and its age; no I/O.

    >>> RouteTable(revoke_ms=5_000, closes_without_contact=True).version is None
    True
    """

    __slots__ = (
        "_account_by_key",
        "_as_of_ms",
        "_closes_without_contact",
        "_configuration",
        "_revoke_ms",
        "_routes_by_host",
    )

    def __init__(self, *, revoke_ms: int, closes_without_contact: bool) -> None:
        self._revoke_ms = revoke_ms
        self._closes_without_contact = closes_without_contact
        self._configuration: Configuration | None = None
        self._as_of_ms = 0
        self._routes_by_host: dict[str, list[Route]] = {}
        self._account_by_key: dict[str, ClientAccount] = {}

    def set_bounds(self, *, revoke_ms: int, closes_without_contact: bool) -> None:
        """Take new bounds from the settings."""
        self._revoke_ms = revoke_ms
        self._closes_without_contact = closes_without_contact

    @property
    def configuration(self) -> Configuration | None:
        return self._configuration

    @property
    def version(self) -> int | None:
        """Return the version in force here, None before the first one."""
        return self._configuration.version if self._configuration else None

    def confirm(self, as_of_ms: int) -> None:
        """Note that the configuration was the newest at ``as_of_ms``."""
        self._as_of_ms = max(self._as_of_ms, as_of_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the configuration was known to be the newest."""
        return now_ms - self._as_of_ms

    def apply(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; an older one changes nothing.

        A node that fell back to an older version would serve withdrawn keys and
        old routes again, which callers see as answers that flip.
        """
        if self.version is not None and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._routes_by_host = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._account_by_key = {
            key: account
            for account in configuration.accounts or ()
            for key in account.keys
        }
        return True

    def may_accept_keys(self, now_ms: int) -> bool:
        """Tell whether the known keys are fresh enough to be relied on."""
        if not self._closes_without_contact:
            return True
        return self.age_ms(now_ms) < self._revoke_ms - _REVOCATION_MARGIN_MS

    def decide(
        self, now_ms: int, *, host: str, path: str, key: str | None, request_id: str
    ) -> Allowed | NotRun:
        """Return route, service and account of a request, or why it may not run."""
        if self._configuration is None:
            return NotRun(Reason.NO_BUNDLE, "no configuration yet", _RETRY_MS)
        route = self._find(host, path)
        if route is None:
            return self._absent(now_ms, Reason.UNKNOWN_ROUTE, "no such route")
        account = self._account_by_key.get(key) if key else None
        if self._configuration.accounts is not None and not route.is_open:
            if not self.may_accept_keys(now_ms):
                return NotRun(Reason.PLATFORM_AWAY, "keys are too old", _RETRY_MS)
            if account is None:
                return self._absent(now_ms, Reason.WRONG_KEY, "unknown key")
        service = _drawn(route, request_id)
        known = self._configuration.service_by_name.get(service)
        engine = known.engine if known is not None else None
        kv_tokens = engine.kv_tokens if engine is not None else 0
        version = self._configuration.version
        return Allowed(route, service, account, version, kv_tokens)

    def _find(self, host: str, path: str) -> Route | None:
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def _absent(self, now_ms: int, reason: Reason, detail: str) -> NotRun:
        """Refuse for good only what the newest configuration surely lacks."""
        if self.age_ms(now_ms) > _CERTAIN_MS:
            return NotRun(
                Reason.PLATFORM_AWAY, f"{detail} in an old configuration", _RETRY_MS
            )
        return NotRun(reason, detail)


def _drawn(route: Route, request_id: str) -> str:
    """Draw a service by weight; one request id always draws the same one."""
    total = sum(share.weight for share in route.shares)
    if len(route.shares) == 1 or total <= 0:
        return route.shares[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=_DIGEST_BYTES).digest()
    point = int.from_bytes(digest, "big") / (1 << 8 * _DIGEST_BYTES) * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
