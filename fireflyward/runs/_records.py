"""Records that prevent a non-idempotent request from running twice."""

import asyncio
import enum
import hashlib
import uuid

import msgspec

from fireflyward.backing import Missing, Row, Table, Unavailable
from fireflyward.clock import Clock
from fireflyward.outcomes import (
    Answered,
    NotRun,
    Reason,
    Unknown,
    Usage,
)

from ._group_commit import (
    GroupCommit,
    MaybeWritten,
    NotWritten,
    VersionMismatch,
    Written,
)
from ._idempotency_record import ClaimResult, EarlierAnswer, EarlierRun, Permit

_RETRY_AFTER_MS = 1_000
_PERMIT_VALIDITY_MS = 10_000
_MAX_BODY_BYTES = 16 << 10
_MAX_PENDING_RELEASES = 1_000
_MAX_RELEASE_ATTEMPTS = 8
_FIRST_RELEASE_BACKOFF_MS = 1_000
_MAX_CLAIM_ATTEMPTS = 3
_DIGEST_BYTES = 16


class RecordState(enum.StrEnum):
    """The progress of a request according to its record."""

    STARTED = "started"
    ANSWERED = "answered"
    NOT_RUN = "not_run"


class Record(msgspec.Struct, omit_defaults=True):
    """The table's row for a non-idempotent request.

    ``owner`` identifies one arrival of the request at one node. ``replica`` is the
    replica to which a prompt was to be dispatched first. ``body`` is the answer if it
    is short enough.
    """

    owner: str
    fingerprint: str
    period: int = 0
    state: RecordState = RecordState.STARTED
    replica: str = ""
    has_body: bool = False
    body: str = ""
    status: int = 200
    content_type: str = ""
    usage: tuple[int, int, int] = (0, 0, 0)

    def encode(self, period: int) -> bytes:
        """Return the row's value, with ``period`` as its retention period."""
        self.period = period
        return msgspec.json.encode(self)


class RunRecords:
    """Writes the record of a request before the request is dispatched.

    Safety depends only on the table: a claim writes the row on the condition that its
    version is still the one that was read, so only one of two concurrent claims
    succeeds, also if they are made by different nodes. A record whose owner may have
    dispatched the request is never claimed by another request.

    Every instance writes under a name of its own. An instance that wrote under the
    name of its predecessor would mistake the predecessor's commit for its own, and
    dispatch a request that the predecessor has dispatched.
    """

    def __init__(self, table: Table, clock: Clock, *, node_name: str = "node") -> None:
        self._table = table
        self._clock = clock
        self._releases: set[asyncio.Task[None]] = set()
        writer_name = f"{node_name}-{uuid.uuid4().hex}"
        self.group_commit = GroupCommit(table, clock, writer_name)

    def __repr__(self) -> str:
        return f"RunRecords(commits={self.group_commit.commits})"

    async def claim(self, key: str, record: Record) -> tuple[ClaimResult, int]:
        """Claim ``key`` for ``record.owner``, or return an earlier claim's state.

        Return the result and, with a ``Permit``, the record's version. The validity
        of a permit starts before the write is sent, by this process's monotonic
        clock.
        """
        started_ms = self._clock.now_ms()
        expected = 0
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            result = await self.group_commit.write(key, expected, record.encode)
            if isinstance(result, Written):
                return Permit(started_ms + _PERMIT_VALIDITY_MS), result.version
            if not isinstance(result, VersionMismatch):
                return self._reject_unwritten(key, record, result), 0
            row = await self._table.get(key)
            if isinstance(row, Unavailable):
                detail = (
                    "an earlier request with this key exists; its record is unavailable"
                )
                return Unknown(Reason.DUPLICATE_RUNNING, detail, _RETRY_AFTER_MS), 0
            if isinstance(row, Row) and _is_owned(row, record.owner):
                return Permit(started_ms + _PERMIT_VALIDITY_MS), row.version
            earlier = _check_earlier_record(row, record)
            if not isinstance(earlier, int):
                return earlier, 0
            expected = earlier
        detail = "other requests with this key arrive at the same time"
        return Unknown(Reason.DUPLICATE_RUNNING, detail, _RETRY_AFTER_MS), 0

    async def settle(self, key: str, version: int, record: Record) -> bool:
        """Record how a claimed request ended; return whether that succeeded.

        If this write fails, the record stays ``STARTED`` and is still correct: it
        means that the request may have run.
        """
        result = await self.group_commit.write(
            key, version, record.encode, is_lazy=True
        )
        return isinstance(result, Written)

    def release(self, key: str, version: int, record: Record) -> None:
        """Record in the background that a claimed request was never dispatched."""
        record.state = RecordState.NOT_RUN
        if len(self._releases) >= _MAX_PENDING_RELEASES:
            return
        task = asyncio.ensure_future(self._release(key, version, record))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def stop(self) -> None:
        """Stop writing immediately."""
        for task in list(self._releases):
            task.cancel()
        self.group_commit.stop()

    def _reject_unwritten(
        self, key: str, record: Record, result: NotWritten | MaybeWritten
    ) -> NotRun:
        """Reject a request whose record could not be written.

        The request is not dispatched, so "not run" is true even if the write takes
        effect later. With such a record, duplicates would get the outcome "unknown", so
        it is released.
        """
        if isinstance(result, MaybeWritten):
            self.release(key, 0, record)
        detail = f"its record could not be written: {result.detail}"
        return NotRun(Reason.PLATFORM_AWAY, detail, _RETRY_AFTER_MS)

    async def _release(self, key: str, version: int, record: Record) -> None:
        for attempt in range(_MAX_RELEASE_ATTEMPTS):
            result = await self.group_commit.write(key, version, record.encode)
            if isinstance(result, Written):
                return
            if isinstance(result, VersionMismatch):
                row = await self._table.get(key)
                if isinstance(row, Row) and not _is_owned(row, record.owner):
                    return
                version = row.version if isinstance(row, Row) else version
            await self._clock.sleep_ms(_FIRST_RELEASE_BACKOFF_MS << attempt)


def record_key(account: str, request_key: str) -> str:
    """Return the key of a request's row; keys of two accounts are never equal."""
    name = f"{len(account)}:{account}{request_key}".encode()
    return (
        f"runs/records/{hashlib.blake2b(name, digest_size=_DIGEST_BYTES).hexdigest()}"
    )


def fill_answer(record: Record, outcome: Answered, body: str | None) -> None:
    """Fill a record with a request's outcome, and with its answer if that is short."""
    usage = outcome.usage
    record.state = RecordState.ANSWERED
    record.usage = (usage.prompt_tokens, usage.completion_tokens, usage.cached_tokens)
    record.has_body = body is not None and len(body.encode()) <= _MAX_BODY_BYTES
    record.body = body if record.has_body else ""


def _check_earlier_record(row: Row | Missing, record: Record) -> int | ClaimResult:
    """Return the result for a duplicate, according to the earlier request's record.

    An int is the version at which the row may be claimed after all, because the
    record was swept or its request was never dispatched.
    """
    if isinstance(row, Missing):
        return 0
    found = msgspec.json.decode(row.value, type=Record)
    if found.fingerprint != record.fingerprint:
        return NotRun(Reason.KEY_REUSED, "this key names another request")
    if found.state is RecordState.NOT_RUN:
        return row.version
    if found.state is RecordState.STARTED:
        return _result_of_started(found)
    if found.has_body:
        return EarlierAnswer(
            found.body, Usage(*found.usage), found.status, found.content_type
        )
    detail = "the request was answered; its record does not contain the answer"
    return Unknown(Reason.ALREADY_RUN, detail)


def _result_of_started(found: Record) -> ClaimResult:
    if found.replica:
        return EarlierRun(found.replica)
    detail = "an earlier request with this key was dispatched; its end is unknown"
    return Unknown(Reason.DUPLICATE_RUNNING, detail, _RETRY_AFTER_MS)


def _is_owned(row: Row, owner: str) -> bool:
    found = msgspec.json.decode(row.value, type=Record)
    return found.owner == owner and found.state is RecordState.STARTED
