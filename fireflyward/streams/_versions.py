"""The software versions at which the streams of a service may have begun."""

from collections.abc import Iterable, Mapping

# No stream lasts longer than this: twice the longest deadline of any deployment.
STREAM_LIFETIME_MS = 30_000


class SoftwareVersions:
    """The software versions of each service's replicas, now and lately; no I/O.

    A version counts until ``STREAM_LIFETIME_MS`` after its last replica left the list,
    because a stream that began there may still be taken up.

    What others told counts here for the same time, and is not passed on: nodes that
    repeat to each other what they heard would never forget a version.

    >>> versions = SoftwareVersions()
    >>> versions.on_list(0, {"s": {"v1"}})
    []
    >>> versions.on_list(9, {"s": {"v2"}}), sorted(versions.recent(9, "s"))
    (['s'], ['v1', 'v2'])
    """

    __slots__ = ("_gone_ms", "_listed", "_mixed", "_told_ms", "has_read_list")

    def __init__(self) -> None:
        # Before the first list nothing is known to have gone.
        self.has_read_list = False
        self._listed: Mapping[str, frozenset[str]] = {}
        # When the last replica of a (service, version) left the list, or a stream began
        # at one that this node does not list.
        self._gone_ms: dict[tuple[str, str], int] = {}
        # When another node, or a row, told of a (service, version).
        self._told_ms: dict[tuple[str, str], int] = {}
        # The services that had several versions at the last update of the list.
        self._mixed: frozenset[str] = frozenset()

    def on_list(self, now_ms: int, listed: Mapping[str, Iterable[str]]) -> list[str]:
        """Replace the listed versions; return the services that now have several.

        They include those whose second version was told since the last update.
        """
        self.has_read_list = True
        old = self._listed
        self._listed = {service: frozenset(names) for service, names in listed.items()}
        for service, names in old.items():
            for name in names - self._listed.get(service, frozenset()):
                self._gone_ms[service, name] = now_ms
        for service, names in self._listed.items():
            for name in names:
                self._gone_ms.pop((service, name), None)
        before, self._mixed = self._mixed, self.mixed(now_ms)
        return sorted(self._mixed - before)

    def on_told(self, now_ms: int, service: str, names: Iterable[str]) -> None:
        """Count versions of which this node knows only by others."""
        for name in names:
            if name not in self._listed.get(service, ()):
                self._told_ms.setdefault((service, name), now_ms)

    def on_begun(self, began_ms: int, service: str, name: str) -> None:
        """Count the version of a stream that began at another node."""
        if name not in self._listed.get(service, ()):
            known_ms = self._gone_ms.get((service, name), began_ms)
            self._gone_ms[service, name] = max(known_ms, began_ms)

    def recent(self, now_ms: int, service: str) -> frozenset[str]:
        """Return the versions at which streams of a service may have begun."""
        first_hand = self.first_hand(now_ms, service)
        return first_hand | _names(self._told_ms, service, now_ms)

    def first_hand(self, now_ms: int, service: str) -> frozenset[str]:
        """Return the versions that this node listed, or at which streams began."""
        listed = self._listed.get(service, frozenset())
        return listed | _names(self._gone_ms, service, now_ms)

    def mixed(self, now_ms: int) -> frozenset[str]:
        """Return the services whose streams may have begun at several versions."""
        services = self.services()
        return frozenset(x for x in services if len(self.recent(now_ms, x)) > 1)

    def services(self) -> frozenset[str]:
        """Return the services with replicas in the list, or with versions gone."""
        others = [*self._gone_ms, *self._told_ms]
        return frozenset({*self._listed, *(service for service, _ in others)})


def _names(
    time_ms_by_version: dict[tuple[str, str], int], service: str, now_ms: int
) -> frozenset[str]:
    """Drop versions whose streams have ended; return those left of a service."""
    if not time_ms_by_version:
        return frozenset()
    since_ms = now_ms - STREAM_LIFETIME_MS
    for key, time_ms in list(time_ms_by_version.items()):
        if time_ms < since_ms:
            del time_ms_by_version[key]
    return frozenset(name for owner, name in time_ms_by_version if owner == service)
