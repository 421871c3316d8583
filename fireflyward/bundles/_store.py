"""Accepted bundles in the platform: one conditional write makes number N+1."""

import msgspec

from fireflyward.platform import (
    Committed,
    Conflict,
    Missing,
    Objects,
    Row,
    Table,
    Unavailable,
    Uncertain,
)

from ._bundle import Bundle
from ._signing import SignedBundle, digest_of

HEAD_KEY = "bundle/head"


class Head(msgspec.Struct, frozen=True):
    """The number in force and the digest of its bytes."""

    number: int
    digest: str
    author: str = ""


class BundleStore:
    """Reads and writes accepted bundles through the platform."""

    __slots__ = ("_objects", "_table")

    def __init__(self, table: Table, objects: Objects) -> None:
        self._table = table
        self._objects = objects

    async def head(self) -> tuple[Head, int] | Missing | Unavailable:
        """Return the head with its row version."""
        row = await self._table.get(HEAD_KEY)
        if not isinstance(row, Row):
            return row
        return msgspec.json.decode(row.value, type=Head), row.version

    async def accept(
        self, bundle: Bundle, signed: SignedBundle
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Make ``bundle`` the next number, if nobody else did so first.

        The bytes go to the object store under their digest before the head names
        them, so a reader of the head always finds them. When the table's answer
        is lost, the head is read back: its digest tells whose write it was.
        """
        digest = digest_of(signed.document)
        stored = await self._objects.put(
            object_name(bundle.number, digest), msgspec.json.encode(signed)
        )
        if isinstance(stored, Unavailable | Uncertain):
            return Unavailable(f"object store: {stored.detail}")
        current = await self.head()
        if isinstance(current, Unavailable):
            return current
        number, version = (
            (0, 0) if isinstance(current, Missing) else (current[0].number, current[1])
        )
        if bundle.number != number + 1:
            return Conflict({HEAD_KEY: number})
        head = Head(bundle.number, digest, signed.signatures[0].person)
        result = await self._table.commit(
            expected={HEAD_KEY: version},
            puts={HEAD_KEY: msgspec.json.encode(head)},
        )
        if isinstance(result, Uncertain):
            return await self._settle(digest, result)
        return result

    async def fetch(self, head: Head) -> SignedBundle | Missing | Unavailable:
        """Return the signed bytes that ``head`` names."""
        body = await self._objects.get(object_name(head.number, head.digest))
        if not isinstance(body, bytes):
            return body
        return msgspec.json.decode(body, type=SignedBundle)

    async def _settle(
        self, digest: str, lost: Uncertain
    ) -> Committed | Conflict | Uncertain:
        current = await self.head()
        if isinstance(current, Unavailable):
            return lost
        if isinstance(current, Missing):
            return Conflict({HEAD_KEY: 0})
        head, version = current
        if head.digest == digest:
            return Committed({HEAD_KEY: version})
        return Conflict({HEAD_KEY: head.number})


def object_name(number: int, digest: str) -> str:
    """Return the name under which a bundle's signed bytes are kept."""
    return f"bundles/{number}-{digest}"
