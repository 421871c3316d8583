"""The four services that the product needs from a platform."""

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

    A service that may be restored from an older snapshot returns the era of each read.
    A commit passes the era of the reads that its condition is based on, because in a
    later era the condition may match by coincidence.
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
        """Apply all writes if each key of ``expected`` has that version, else none."""


class Objects(Protocol):
    """The object store: immutable objects by name."""

    async def get(self, name: str) -> bytes | Missing | Unavailable: ...

    async def put(self, name: str, body: bytes) -> Stored | Unavailable | Uncertain: ...


class Weights(Protocol):
    """The weight store's list of the versions that exist."""

    async def versions(self) -> dict[str, tuple[str, ...]] | Unavailable: ...


class Vms(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def list(self) -> VmList | Unavailable: ...
