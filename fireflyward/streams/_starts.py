"""The streams that began lately, each with the software version of its replica."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from ._versions import STREAM_LIFETIME_MS

_KEY_BYTES = 8
# Streams of all nodes of a large fleet that hold a record here; one takes 200 bytes.
_MAX_STREAMS = 20_000


def stream_key(account: str, request_id: str) -> int:
    """Return the number that identifies a stream in messages between nodes.

    The request id comes from the caller, so another account's stream with the same id
    has another number.

    >>> stream_key("acme", "q1") == stream_key("other", "q1")
    False
    """
    data = f"{len(account)} {account}{request_id}".encode()
    digest = hashlib.blake2b(data, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big", signed=True)


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """The software version at which a stream of a service began, and how long ago."""

    service: str
    software: str
    key: int
    age_ms: int


class _Start:
    """The version at which a stream began; ``is_own`` if it began at this node."""

    __slots__ = ("at_ms", "is_own", "service", "software")

    def __init__(self, at_ms: int, service: str, software: str, is_own: bool) -> None:
        self.at_ms = at_ms
        self.service = service
        self.software = software
        self.is_own = is_own


class StreamStarts:
    """Records where streams began, for as long as they may be taken up; no I/O.

    The oldest records are dropped first, also if there are too many.
    """

    __slots__ = ("_dropped_ms", "_start_by_key")

    def __init__(self) -> None:
        self._start_by_key: dict[int, _Start] = {}
        # When the youngest stream began whose record was dropped for lack of room.
        self._dropped_ms: int | None = None

    def __len__(self) -> int:
        return len(self._start_by_key)

    def add(
        self,
        now_ms: int,
        service: str,
        software: str,
        key: int,
        *,
        is_own: bool,
        age_ms: int = 0,
    ) -> None:
        """Record a stream; what was recorded first about it stays."""
        starts = self._start_by_key
        if key in starts:
            return
        self._forget(now_ms)
        starts[key] = _Start(now_ms - age_ms, service, software, is_own)

    def find(self, now_ms: int, key: int) -> str | None:
        """Return the version at which a stream began, None if it is not recorded."""
        start = self._start_by_key.get(key)
        if start is None or now_ms - start.at_ms > STREAM_LIFETIME_MS:
            return None
        return start.software

    def has_dropped(self, now_ms: int) -> bool:
        """Return whether streams may be taken up whose records were dropped."""
        dropped_ms = self._dropped_ms
        return dropped_ms is not None and now_ms - dropped_ms <= STREAM_LIFETIME_MS

    def records(self, now_ms: int, services: Iterable[str]) -> list[StreamRecord]:
        """Return the streams of some services, wherever they began."""
        self._forget(now_ms)
        wanted = frozenset(services)
        return [
            StreamRecord(start.service, start.software, key, now_ms - start.at_ms)
            for key, start in self._start_by_key.items()
            if start.service in wanted and now_ms - start.at_ms <= STREAM_LIFETIME_MS
        ]

    def own_by_software(
        self, now_ms: int, services: Iterable[str]
    ) -> dict[tuple[str, str], list[int]]:
        """Return the streams that began at this node, by service and version."""
        self._forget(now_ms)
        wanted = frozenset(services)
        found: dict[tuple[str, str], list[int]] = {}
        for key, start in self._start_by_key.items():
            if start.is_own and start.service in wanted:
                found.setdefault((start.service, start.software), []).append(key)
        return found

    def _forget(self, now_ms: int) -> None:
        """Drop records from the oldest on.

        They are ordered by when they were added. A copy that was made later is behind
        younger ones, and is dropped with them.
        """
        since_ms = now_ms - STREAM_LIFETIME_MS
        starts = self._start_by_key
        while starts:
            oldest = next(iter(starts))
            at_ms = starts[oldest].at_ms
            if at_ms >= since_ms and len(starts) < _MAX_STREAMS:
                return
            if at_ms >= since_ms:
                self._dropped_ms = max(at_ms, self._dropped_ms or at_ms)
            del starts[oldest]
