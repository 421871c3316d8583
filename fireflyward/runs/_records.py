"""Records that keep a non-idempotent request from running twice."""

from dataclasses import dataclass

import msgspec

from fireflyward.outcomes import NotRun, Reason, Unknown
from fireflyward.platform import Committed, Conflict, Row, Table, Unavailable

_RETRY_AFTER_MS = 1_000


class Record(msgspec.Struct):
    """What the table keeps of a non-idempotent request."""

    owner: str
    fingerprint: str
    state: str = "started"


@dataclass(frozen=True, slots=True)
class RecordKept:
    """The record is this request's own; it may be dispatched once."""

    key: str


class RunRecords:
    """Writes the record of a request before the request is dispatched."""

    __slots__ = ("_table",)

    def __init__(self, table: Table) -> None:
        self._table = table

    async def keep(
        self, account: str, request_key: str, owner: str, fingerprint: str
    ) -> RecordKept | NotRun | Unknown:
        """Claim ``request_key`` for the run ``owner``, or say what is known of it."""
        key = f"runs/{account}/{request_key}"
        body = msgspec.json.encode(Record(owner, fingerprint))
        result = await self._table.commit(expected={key: 0}, puts={key: body})
        if isinstance(result, Committed):
            return RecordKept(key)
        if isinstance(result, Unavailable):
            return NotRun(Reason.PLATFORM_AWAY, result.detail, _RETRY_AFTER_MS)
        return await self._settle(key, owner, lost=not isinstance(result, Conflict))

    async def _settle(
        self, key: str, owner: str, *, lost: bool
    ) -> RecordKept | NotRun | Unknown:
        """Read back whose record it is, after a conflict or a lost answer."""
        row = await self._table.get(key)
        if isinstance(row, Row):
            if msgspec.json.decode(row.value, type=Record).owner == owner:
                return RecordKept(key)
            detail = "an earlier request with this key was dispatched"
            return Unknown(Reason.DUPLICATE_RUNNING, detail, _RETRY_AFTER_MS)
        detail = "its record could not be settled" if lost else "record moved"
        return NotRun(Reason.PLATFORM_AWAY, detail, _RETRY_AFTER_MS)
