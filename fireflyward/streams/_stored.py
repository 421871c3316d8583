"""The software versions that the store lists for each service."""

from collections.abc import Iterable, Mapping

from fireflyward.backing import Position

from ._versions import STREAM_LIFETIME_MS

_NONE: frozenset[str] = frozenset()
# By then each node has tried to store the versions; see ``SoftwareRows``.
_MAX_HOLD_MS = 4_000


class StoredVersions:
    """The software versions of each service that are stored, as far as known; no I/O.

    A stream begins only at a version that is stored. So if all nodes end at once, and
    their records with them, the stored versions are those at which streams can have
    begun that nobody knows any more.

    >>> stored = StoredVersions(started_ms=0)
    >>> stored.before_start(0, "s") is None
    True
    >>> stored.on_read({"s": frozenset({"v1"})}, {"s": Position(0, 5)}, is_full=True)
    >>> stored.on_written("s", frozenset({"v1", "v2"}), Position(0, 8))
    True
    >>> sorted(stored.of("s")), sorted(stored.before_start(0, "s"))
    (['v1', 'v2'], ['v1'])
    """

    __slots__ = (
        "_at_start",
        "_has_read",
        "_held_since_ms",
        "_position_by_service",
        "_started_ms",
        "_unstored_services",
        "_usable",
        "_versions_by_service",
    )

    def __init__(self, *, started_ms: int) -> None:
        """``started_ms`` is when this node started."""
        self._started_ms = started_ms
        # What the first full read gave, None before it or if rows had been lost.
        self._has_read = False
        self._at_start: dict[str, frozenset[str]] | None = None
        self._versions_by_service: dict[str, frozenset[str]] = {}
        self._position_by_service: dict[str, Position] = {}
        self._usable: dict[str, frozenset[str]] = {}
        # Services of which a usable version is not stored; usually there are none.
        self._unstored_services: set[str] = set()
        # Since when streams of a service wait for the first of its usable versions.
        self._held_since_ms: dict[str, int] = {}

    def on_read(
        self,
        versions_by_service: Mapping[str, frozenset[str]],
        position_by_service: Mapping[str, Position],
        *,
        is_full: bool,
        has_run: bool = False,
    ) -> None:
        """Apply rows that were read; one that was deleted has a position only.

        A change that is older than what another node told is left out.
        With ``has_run`` a node of this node's name ran before. Then some row exists,
        unless the store has lost it.
        """
        if is_full:
            self._versions_by_service.clear()
            self._position_by_service.clear()
        for service, position in position_by_service.items():
            known = self._position_by_service.get(service)
            if known is None or position >= known:
                self._set(service, versions_by_service.get(service, _NONE), position)
        if is_full and not self._has_read:
            self._has_read = True
            if versions_by_service or not has_run:
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

    def on_list(self, usable: Mapping[str, Iterable[str]]) -> None:
        """Replace the versions that have replicas which take requests."""
        self._usable = {service: frozenset(names) for service, names in usable.items()}
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

    def begins_at(self, now_ms: int, service: str) -> frozenset[str] | None:
        """Return the only versions at which streams may begin now, None for any.

        With an empty one streams wait for a moment. After ``_MAX_HOLD_MS`` they begin
        at any: a store that is away must not stop the service.
        """
        if service not in self._unstored_services:
            return None
        stored = self.of(service) & self._usable[service]
        if stored:
            return stored
        since_ms = self._held_since_ms.setdefault(service, now_ms)
        return _NONE if now_ms - since_ms < _MAX_HOLD_MS else None

    def before_start(self, now_ms: int, service: str) -> frozenset[str] | None:
        """Return where streams may have begun that this node forgot when it started.

        It is empty once they have ended. It is None if that is unknown: the rows have
        not been read, or were lost.
        """
        if now_ms - self._started_ms > STREAM_LIFETIME_MS:
            return _NONE
        if self._at_start is None:
            return None
        return self._at_start.get(service, _NONE)

    def _set(self, service: str, versions: frozenset[str], position: Position) -> None:
        self._position_by_service[service] = position
        if versions:
            self._versions_by_service[service] = versions
        else:
            self._versions_by_service.pop(service, None)

    def _compare(self) -> None:
        self._unstored_services = {
            service
            for service, usable in self._usable.items()
            if not usable <= self.of(service)
        }
        for service in list(self._held_since_ms):
            usable = self._usable.get(service, _NONE)
            if not usable or self.of(service) & usable:
                del self._held_since_ms[service]
