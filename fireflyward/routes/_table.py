"""Decides by the last received configuration whether a request may run."""

import hashlib
from dataclasses import dataclass

from fireflyward.deployment import ClientAccount, Configuration, Route
from fireflyward.outcomes import NotRun, Reason

_DIGEST_BYTES = 8
# A configuration that was confirmed longer ago than this may lack a route or a key that
# has been added since, so a request must not be rejected for good because one is
# missing. The feed confirms the configuration about every two seconds.
_MAX_CERTAIN_AGE_MS = 2_900
# Callers of a node that cannot reach the store retry after this long. The node reports
# that it is not ready, and the balancer has removed it by that time.
_RETRY_AFTER_MS = 500
# Subtracted from the time within which the withdrawal of a key must take effect. It
# allows for the time from the caller to the replica, and for a slow node.
_REVOCATION_MARGIN_MS = 400


@dataclass(frozen=True, slots=True)
class Allowed:
    """The route, the service and the account of a request that may run.

    ``kv_tokens`` is the KV memory of each replica of the service in tokens, 0 if they
    have none.
    """

    route: Route
    service: str
    account: ClientAccount | None
    configuration_version: int
    kv_tokens: int = 0

    @property
    def priority(self) -> int:
        """Return the account's priority if it has one, else the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class RouteTable:
    """Holds the configuration in force and its age; no I/O.

    >>> RouteTable(revoke_ms=5_000, fails_closed=True).version is None
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

    def __init__(self, *, revoke_ms: int, fails_closed: bool) -> None:
        self._revoke_ms = revoke_ms
        self._closes_without_contact = fails_closed
        self._configuration: Configuration | None = None
        self._as_of_ms = 0
        self._routes_by_host: dict[str, list[Route]] = {}
        self._account_by_key: dict[str, ClientAccount] = {}

    def set_bounds(self, *, revoke_ms: int, fails_closed: bool) -> None:
        """Replace the bounds by those of new settings."""
        self._revoke_ms = revoke_ms
        self._closes_without_contact = fails_closed

    @property
    def configuration(self) -> Configuration | None:
        return self._configuration

    @property
    def version(self) -> int | None:
        """Return the version in force on this node, None before the first one."""
        return self._configuration.version if self._configuration else None

    def confirm(self, as_of_ms: int) -> None:
        """Record that the configuration was the newest at ``as_of_ms``."""
        self._as_of_ms = max(self._as_of_ms, as_of_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the configuration was last confirmed as the newest."""
        return now_ms - self._as_of_ms

    def apply(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; an older one changes nothing.

        A node that went back to an older version would accept withdrawn keys and serve
        old routes again, and callers would get answers that alternate between versions.
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
        """Return whether the keys were confirmed recently enough to be accepted."""
        if not self._closes_without_contact:
            return True
        return self.age_ms(now_ms) < self._revoke_ms - _REVOCATION_MARGIN_MS

    def decide(
        self, now_ms: int, *, host: str, path: str, key: str | None, request_id: str
    ) -> Allowed | NotRun:
        """Return route, service and account of a request, or why it may not run."""
        if self._configuration is None:
            return NotRun(Reason.NO_BUNDLE, "no configuration yet", _RETRY_AFTER_MS)
        route = self._find_route(host, path)
        if route is None:
            return self._reject_missing(now_ms, Reason.UNKNOWN_ROUTE, "no such route")
        account = self._account_by_key.get(key) if key else None
        if self._configuration.accounts is not None and not route.allows_anonymous:
            if not self.may_accept_keys(now_ms):
                return NotRun(Reason.PLATFORM_AWAY, "keys are too old", _RETRY_AFTER_MS)
            if account is None:
                return self._reject_missing(now_ms, Reason.WRONG_KEY, "unknown key")
        service = _choose_service(route, request_id)
        settings = self._configuration.service_by_name.get(service)
        engine = settings.engine if settings is not None else None
        kv_tokens = engine.kv_tokens if engine is not None else 0
        version = self._configuration.version
        return Allowed(route, service, account, version, kv_tokens)

    def _find_route(self, host: str, path: str) -> Route | None:
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def _reject_missing(self, now_ms: int, reason: Reason, detail: str) -> NotRun:
        """Reject for good only if the newest configuration certainly has no entry."""
        if self.age_ms(now_ms) > _MAX_CERTAIN_AGE_MS:
            return NotRun(
                Reason.PLATFORM_AWAY,
                f"{detail} in an old configuration",
                _RETRY_AFTER_MS,
            )
        return NotRun(reason, detail)


def _choose_service(route: Route, request_id: str) -> str:
    """Choose a service by weight; the same request id always gets the same one."""
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
