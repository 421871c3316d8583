"""Merges the signs of an upstream's leaving: the list, a peer's word, refusals."""

from collections.abc import Iterable, Mapping, Sequence
from urllib.parse import urlsplit

from fireflyward.backing import VmEntry, VmList

_LEAVING = "leaving"
_TOLD_MS = 60_000
_REFUSED_MS = 3_000
_OLDEST_LIST_MS = 300_000


class LeavingUpstreams:
    """Decides without I/O which upstreams get no new work.

    The platform's list lags and its copies lag unlike, so "live" takes nothing
    back by itself: only a list that said "leaving" before and now says "live" does.
    A peer's word holds for a minute, by which time the own list says the same. A
    refused connection puts an upstream last for three seconds; it may be back.

    >>> upstreams = LeavingUpstreams()
    >>> upstreams.set_upstreams({"engine-1": "http://10.0.0.1:80"})
    >>> upstreams.on_told(0, ["engine-1"])
    ('engine-1',)
    >>> upstreams.is_leaving(59_999, "engine-1"), upstreams.is_leaving(60_000, "engine-1")
    (True, False)
    """

    __slots__ = (
        "_as_of_ms",
        "_listed",
        "_name_by_address",
        "_refused_until_ms_by_name",
        "_told_until_ms_by_name",
    )

    def __init__(self) -> None:
        self._name_by_address: dict[str, str] = {}
        self._listed: set[str] = set()
        self._told_until_ms_by_name: dict[str, int] = {}
        self._refused_until_ms_by_name: dict[str, int] = {}
        self._as_of_ms = 0

    def __repr__(self) -> str:
        return (
            f"LeavingSigns({sorted(self._listed | self._told_until_ms_by_name.keys())})"
        )

    def set_upstreams(self, url_by_name: Mapping[str, str]) -> None:
        """Take the upstreams of a bundle; the list names them or their address."""
        self._name_by_address = {name: name for name in url_by_name}
        for name, url in url_by_name.items():
            self._name_by_address.setdefault(urlsplit(url).netloc, name)

    def on_list(self, now_ms: int, listed: VmList) -> tuple[str, ...]:
        """Take the platform's list; return who leaves by it and did not before."""
        if 0 < self._as_of_ms - listed.as_of_ms < _OLDEST_LIST_MS:
            return ()
        self._as_of_ms = listed.as_of_ms
        state_by_name = {
            name: entry.state
            for entry in listed.entries
            if (name := self._name_of(entry)) is not None
        }
        leaving = {name for name, state in state_by_name.items() if state == _LEAVING}
        fresh = [name for name in sorted(leaving) if not self.is_leaving(now_ms, name)]
        for name in self._listed - leaving:
            if name in state_by_name:
                self._told_until_ms_by_name.pop(name, None)
        gone = self._listed - state_by_name.keys()
        self._listed = leaving | gone
        return tuple(fresh)

    def on_told(self, now_ms: int, names: Iterable[str]) -> tuple[str, ...]:
        """Take a peer's word; return who leaves by it and did not before."""
        known = set(self._name_by_address.values())
        fresh = []
        for name in names:
            if name not in known:
                continue
            if not self.is_leaving(now_ms, name):
                fresh.append(name)
            self._told_until_ms_by_name[name] = now_ms + _TOLD_MS
        return tuple(fresh)

    def on_refused(self, now_ms: int, name: str) -> None:
        """Note that an upstream refused a connection."""
        self._refused_until_ms_by_name[name] = now_ms + _REFUSED_MS

    def is_leaving(self, now_ms: int, name: str) -> bool:
        """Tell whether the list or a peer says that an upstream leaves."""
        told_until_ms = self._told_until_ms_by_name.get(name, now_ms)
        return name in self._listed or told_until_ms > now_ms

    def in_order(self, now_ms: int, names: Sequence[str]) -> list[str]:
        """Return those that do not leave, who lately refused a connection last.

        A refusal alone takes no upstream out: if it is the only one, trying it is
        better than saying that there is none.
        """
        able = [name for name in names if not self.is_leaving(now_ms, name)]
        return sorted(able, key=lambda name: self._has_refused(now_ms, name))

    def _has_refused(self, now_ms: int, name: str) -> bool:
        return self._refused_until_ms_by_name.get(name, now_ms) > now_ms

    def _name_of(self, entry: VmEntry) -> str | None:
        by_name = self._name_by_address.get(entry.name)
        return by_name or self._name_by_address.get(entry.address)
