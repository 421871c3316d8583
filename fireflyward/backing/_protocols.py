"""What the product needs of a platform; any adapter of these four will do."""

from collections.abc import Mapping
from typing import Protocol

from ._messages import (
    Committed,
    Conflict,
    Missing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
    VmList,
)


class Table(Protocol):
    """The transactional table service: rows of bytes with versions.

    One that may come back from an older copy tells the era of what it read, and takes
    that of the reads on which a condition rests: in a later era the condition may hold
    by chance.
    """

    async def get(self, key: str) -> Row | Missing | Unavailable: ...

    async def scan(self, prefix: str) -> tuple[Row, ...] | Unavailable: ...

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: tuple[str, ...] = (),
        era: int = 0,
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Write all or nothing, if each key of ``expected`` has that version."""


class Objects(Protocol):
    """The object store: whole immutable blobs by name."""

    async def get(self, name: str) -> bytes | Missing | Unavailable: ...

    async def put(self, name: str, body: bytes) -> Stored | Unavailable | Uncertain: ...


class Weights(Protocol):
    """The weight store, as far as control needs it: which versions exist."""

    async def versions(self) -> dict[str, tuple[str, ...]] | Unavailable: ...


class Vms(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def list(self) -> VmList | Unavailable: ...
