"""Decides which upstreams are leaving, by the VM list, peers and failed connections."""

from collections.abc import Iterable, Mapping, Sequence
from urllib.parse import urlsplit

from fireflyward.backing import VmEntry, VmList

_LEAVING = "leaving"
# How long another node's announcement counts.
_PEER_REPORT_MS = 60_000
_REFUSED_MS = 3_000
# A list that is older than the last one by less than this is an outdated copy. If it is
# older by more, then the platform's clock was set back.
_MAX_OUTDATED_MS = 300_000


class LeavingUpstreams:
    """Decides without I/O which upstreams get no new work.

    The platform's list is delayed, and its copies are delayed by different times.
    Therefore "live" in a list alone revokes nothing; it does so only after "leaving" in
    an earlier list. A peer's announcement counts for a minute; after that time this
    node's own list contains the same state. An upstream that refused a connection is
    tried last for three seconds; it may be available again.

    >>> leaving = LeavingUpstreams()
    >>> leaving.set_upstreams({"engine-1": "http://10.0.0.1:80"})
    >>> leaving.on_peer_report(0, ["engine-1"])
    ('engine-1',)
    >>> leaving.is_leaving(59_999, "engine-1"), leaving.is_leaving(60_000, "engine-1")
    (True, False)
    """

    __slots__ = (
        "_as_of_ms",
        "_listed",
        "_name_by_address",
        "_refused_until_ms_by_name",
        "_until_ms_by_name",
    )

    def __init__(self) -> None:
        self._name_by_address: dict[str, str] = {}
        self._listed: set[str] = set()
        self._until_ms_by_name: dict[str, int] = {}
        self._refused_until_ms_by_name: dict[str, int] = {}
        self._as_of_ms = 0

    def __repr__(self) -> str:
        return (
            f"LeavingUpstreams({sorted(self._listed | self._until_ms_by_name.keys())})"
        )

    def set_upstreams(self, url_by_name: Mapping[str, str]) -> None:
        """Set the upstreams of a bundle; the list contains their names or addresses."""
        self._name_by_address = {name: name for name in url_by_name}
        for name, url in url_by_name.items():
            self._name_by_address.setdefault(urlsplit(url).netloc, name)

    def on_list(self, now_ms: int, listed: VmList) -> tuple[str, ...]:
        """Apply the platform's list; return the upstreams that are newly leaving."""
        if 0 < self._as_of_ms - listed.as_of_ms < _MAX_OUTDATED_MS:
            return ()
        self._as_of_ms = listed.as_of_ms
        state_by_name = {
            name: entry.state
            for entry in listed.entries
            if (name := self._name_of(entry)) is not None
        }
        leaving = {name for name, state in state_by_name.items() if state == _LEAVING}
        newly_leaving = [
            name for name in sorted(leaving) if not self.is_leaving(now_ms, name)
        ]
        for name in self._listed - leaving:
            if name in state_by_name:
                self._until_ms_by_name.pop(name, None)
        gone = self._listed - state_by_name.keys()
        self._listed = leaving | gone
        return tuple(newly_leaving)

    def on_peer_report(self, now_ms: int, names: Iterable[str]) -> tuple[str, ...]:
        """Apply a peer's announcement; return the upstreams that are newly leaving."""
        known = set(self._name_by_address.values())
        newly_leaving = []
        for name in names:
            if name not in known:
                continue
            if not self.is_leaving(now_ms, name):
                newly_leaving.append(name)
            self._until_ms_by_name[name] = now_ms + _PEER_REPORT_MS
        return tuple(newly_leaving)

    def on_refused(self, now_ms: int, name: str) -> None:
        """Record that an upstream refused a connection."""
        self._refused_until_ms_by_name[name] = now_ms + _REFUSED_MS

    def is_leaving(self, now_ms: int, name: str) -> bool:
        """Return whether an upstream is leaving, by the list or by a peer."""
        reported_until_ms = self._until_ms_by_name.get(name, now_ms)
        return name in self._listed or reported_until_ms > now_ms

    def in_order(self, now_ms: int, names: Sequence[str]) -> list[str]:
        """Return the upstreams that are not leaving, with recently refusing ones last.

        A refused connection alone excludes no upstream: if it is the only one, a new
        attempt is better than an error.
        """
        available = [name for name in names if not self.is_leaving(now_ms, name)]
        return sorted(available, key=lambda name: self._has_refused(now_ms, name))

    def _has_refused(self, now_ms: int, name: str) -> bool:
        return self._refused_until_ms_by_name.get(name, now_ms) > now_ms

    def _name_of(self, entry: VmEntry) -> str | None:
        by_name = self._name_by_address.get(entry.name)
        return by_name or self._name_by_address.get(entry.address)
