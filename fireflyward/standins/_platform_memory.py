"""The platform's services in memory, with switches for their faults."""

from collections.abc import Mapping

from fireflyward.backing import (
    Committed,
    Conflict,
    Missing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
    VmEntry,
    VmList,
)

_UNAVAILABLE = Unavailable("the stand-in is unavailable")
_LOST = Uncertain("answer lost")


class MemoryTable:
    """A table service.

    While ``unavailable`` is set, all calls fail. ``lose_answers`` is how many of
    the next commits take effect although their answer is lost.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[str, Row] = {}
        self.unavailable = False
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    async def get(self, key: str) -> Row | Missing | Unavailable:
        if self.unavailable:
            return _UNAVAILABLE
        self.reads += 1
        return self.row_by_key.get(key) or Missing(key)

    async def scan(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        if self.unavailable:
            return _UNAVAILABLE
        self.reads += 1
        return tuple(
            row
            for key, row in sorted(self.row_by_key.items())
            if key.startswith(prefix)
        )

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: tuple[str, ...] = (),
        era: int = 0,
    ) -> Committed | Conflict | Unavailable | Uncertain:
        if self.unavailable:
            return _UNAVAILABLE
        found = {key: self._version(key) for key in expected}
        if found != dict(expected):
            return Conflict(found)
        self.writes += 1
        for key, value in puts.items():
            self.row_by_key[key] = Row(key, value, self._version(key) + 1)
        for key in deletes:
            self.row_by_key.pop(key, None)
        if self.lose_answers:
            self.lose_answers -= 1
            return _LOST
        return Committed({key: self._version(key) for key in puts})

    def _version(self, key: str) -> int:
        row = self.row_by_key.get(key)
        return row.version if row else 0


class MemoryObjects:
    """An object store."""

    def __init__(self) -> None:
        self.body_by_name: dict[str, bytes] = {}
        self.unavailable = False

    async def get(self, name: str) -> bytes | Missing | Unavailable:
        if self.unavailable:
            return _UNAVAILABLE
        body = self.body_by_name.get(name)
        return Missing(name) if body is None else body

    async def put(self, name: str, body: bytes) -> Stored | Unavailable | Uncertain:
        if self.unavailable:
            return _UNAVAILABLE
        self.body_by_name[name] = body
        return Stored(name)


class MemoryWeights:
    """A weight store's list of versions."""

    def __init__(self, versions_by_model: dict[str, tuple[str, ...]]) -> None:
        self.versions_by_model = versions_by_model
        self.unavailable = False

    async def versions(self) -> dict[str, tuple[str, ...]] | Unavailable:
        return _UNAVAILABLE if self.unavailable else dict(self.versions_by_model)


class MemoryVms:
    """The platform's list of VMs."""

    def __init__(self) -> None:
        self.entry_by_name: dict[str, VmEntry] = {}
        self.as_of_ms = 0
        self.unavailable = False

    async def list(self) -> VmList | Unavailable:
        if self.unavailable:
            return _UNAVAILABLE
        return VmList(tuple(self.entry_by_name.values()), self.as_of_ms)
