"""The software versions that the store lists for each service."""

from collections.abc import Iterable, Mapping

from fireflyward.backing import Position

from ._versions import STREAM_LIFETIME_MS

_NONE: frozenset[str] = frozenset()


class StoredVersions:
    """The software versions of each service that are stored, as far as known; no I/O.

    A stream begins only at a version that is stored. So if all nodes end at once, and
    their records with them, the stored versions are those at which streams can have
    begun that nobody knows any more.

    >>> stored = StoredVersions(started_ms=0)
    >>> stored.before_start(0, "s") is None
    True
    >>> stored.on_first_read(has_run_before=True)
    >>> stored.on_read({"s": frozenset({"v1"})}, {"s": Position(0, 5)}, is_full=True)
    >>> stored.on_written("s", frozenset({"v1", "v2"}), Position(0, 8))
    True
    >>> sorted(stored.of("s")), sorted(stored.before_start(0, "s"))
    (['v1', 'v2'], ['v1'])
    """

    __slots__ = (
        "_at_start",
        "_has_run_before",
        "_listed",
        "_position_by_service",
        "_started_ms",
        "_unstored_services",
        "_versions_by_service",
    )

    def __init__(self, *, started_ms: int) -> None:
        """``started_ms`` is when this node started."""
        self._started_ms = started_ms
        # What the first full read gave, None before it.
        self._at_start: dict[str, frozenset[str]] | None = None
        self._has_run_before: bool | None = None
        self._versions_by_service: dict[str, frozenset[str]] = {}
        self._position_by_service: dict[str, Position] = {}
        self._listed: dict[str, frozenset[str]] = {}
        # Services of which a listed version is not stored; usually there are none.
        self._unstored_services: set[str] = set()

    def on_first_read(self, *, has_run_before: bool) -> None:
        """Record whether another process had the name of this node before."""
        if self._has_run_before is None:
            self._has_run_before = has_run_before

    def on_read(
        self,
        versions_by_service: Mapping[str, frozenset[str]],
        position_by_service: Mapping[str, Position],
        *,
        is_full: bool,
    ) -> None:
        """Apply rows that were read; one that was deleted has a position only."""
        if is_full:
            self._versions_by_service.clear()
            self._position_by_service.clear()
        for service, position in position_by_service.items():
            self._set(service, versions_by_service.get(service, _NONE), position)
        if is_full and self._at_start is None:
            self._at_start = dict(self._versions_by_service)
        self._compare()

    def on_written(
        self, service: str, versions: frozenset[str], position: Position
    ) -> bool:
        """Apply a write, by this node or another; return whether it was news."""
        known = self._position_by_service.get(service)
        if known is not None and position <= known:
            return False
        self._set(service, versions, position)
        self._compare()
        return True

    def on_list(self, listed: Mapping[str, Iterable[str]]) -> None:
        """Replace the listed versions of all services."""
        self._listed = {service: frozenset(names) for service, names in listed.items()}
        self._compare()

    def of(self, service: str) -> frozenset[str]:
        """Return the stored versions of a service."""
        return self._versions_by_service.get(service, _NONE)

    def position_of(self, service: str) -> Position | None:
        """Return where a service's row was written last, None if that is unknown."""
        return self._position_by_service.get(service)

    def services(self) -> frozenset[str]:
        """Return the services with stored versions."""
        return frozenset(self._versions_by_service)

    def begins_at(self, service: str) -> frozenset[str] | None:
        """Return the only versions at which streams may begin now, None for any.

        If no listed version is stored, streams may begin at any: callers would be
        rejected otherwise, for as long as the store is away.
        """
        if service not in self._unstored_services:
            return None
        return self.of(service) & self._listed[service] or None

    def before_start(self, now_ms: int, service: str) -> frozenset[str] | None:
        """Return where streams may have begun at this node before it started.

        It is empty if there are no such streams: they have ended, or this node had not
        run. It is None if that is unknown: the rows were not read, or did not list the
        service.
        """
        if now_ms - self._started_ms > STREAM_LIFETIME_MS:
            return _NONE
        if self._at_start is None:
            return None
        return self._at_start.get(service) if self._has_run_before else _NONE

    def _set(self, service: str, versions: frozenset[str], position: Position) -> None:
        self._position_by_service[service] = position
        if versions:
            self._versions_by_service[service] = versions
        else:
            self._versions_by_service.pop(service, None)

    def _compare(self) -> None:
        self._unstored_services = {
            service
            for service, listed in self._listed.items()
            if not listed <= self.of(service)
        }
