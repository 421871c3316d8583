"""Claims and settles the record of one non-idempotent request."""

import asyncio

from fireflyward.outcomes import NotRun, Outcome, Unknown

from ._idempotency_record import ClaimResult, Permit
from ._records import Record, RunRecords, fill_answer, record_key


class RequestRecord:
    """An ``IdempotencyRecord``: the record of one arrival of a request at one node."""

    __slots__ = ("_claim", "_key", "_record", "_records")

    def __init__(
        self,
        records: RunRecords,
        *,
        account: str,
        request_key: str,
        owner: str,
        fingerprint: str,
    ) -> None:
        self._records = records
        self._key = record_key(account, request_key)
        self._record = Record(owner, fingerprint)
        self._claim: asyncio.Task[tuple[ClaimResult, int]] | None = None

    async def claim(self, replica: str) -> ClaimResult:
        """Claim the record; cancelling the caller does not cancel a write in flight."""
        self._record.replica = replica
        work = self._records.claim(self._key, self._record)
        self._claim = asyncio.ensure_future(work)
        result, _ = await asyncio.shield(self._claim)
        return result

    async def settle(
        self,
        outcome: Outcome,
        body: str | None,
        *,
        status: int = 200,
        content_type: str = "",
    ) -> None:
        """Record the outcome, if this request claimed the record.

        Without a ``body``, the record shows duplicates that the request ran, but not
        its answer.
        """
        if self._claim is None:
            return
        result, version = await self._claim
        if not isinstance(result, Permit) or isinstance(outcome, Unknown):
            return
        if isinstance(outcome, NotRun):
            self._records.release(self._key, version, self._record)
            return
        self._record.status = status
        self._record.content_type = content_type
        fill_answer(self._record, outcome, body)
        await self._records.settle(self._key, version, self._record)
