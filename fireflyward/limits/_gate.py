"""Lets requests wait until they are admitted or rejected."""

import asyncio
from dataclasses import replace

from fireflyward.clock import Clock, within_ms
from fireflyward.outcomes import NotRun, Reason

from ._account_shares import AccountShares
from ._admission import Admission, AdmissionRequest, Ticket


class AdmissionGate:
    """Lets each request wait in ``enter`` until admission has decided on its ticket.

        ticket = await gate.enter(request)
        if isinstance(ticket, NotRun):
            return ticket
        try:
            ...
        finally:
            gate.leave(ticket)

    A rejection is returned as soon as it is decided. No part of a rejected request
    was sent to an upstream, so the result "not run" is correct.
    """

    __slots__ = ("_admission", "_clock", "_decided_by_ticket", "_shares")

    def __init__(self, clock: Clock, admission: Admission | None = None) -> None:
        self._clock = clock
        self._admission = admission or Admission()
        self._decided_by_ticket: dict[int, asyncio.Event] = {}
        self._shares: AccountShares | None = None

    def __repr__(self) -> str:
        return f"AdmissionGate({self._admission!r})"

    @property
    def admission(self) -> Admission:
        return self._admission

    def share_limits(self, shares: AccountShares) -> None:
        """Apply this node's part of each account's limit from now on."""
        self._shares = shares

    def total(self) -> int:
        """Return the number of requests that wait or run at this node."""
        return self._admission.total()

    async def enter(self, request: AdmissionRequest) -> Ticket | NotRun:
        """Return a ticket once the request may run, or else its rejection."""
        ticket = self._enter(request)
        if isinstance(ticket, NotRun):
            return ticket
        try:
            await self._wait(ticket)
        except BaseException:
            # A caller that disconnects while waiting cancels this task. Without this,
            # the request would stay counted, and its account would be at its limit
            # without any request in flight.
            self.leave(ticket)
            raise
        if ticket.rejection:
            self.leave(ticket)
            return ticket.rejection
        return ticket

    def on_first_token(self, ticket: Ticket, queueing_delay_ms: float | None) -> None:
        """Record the end of a run's prefill, as ``Admission.on_first_token`` does."""
        self._admission.on_first_token(self._clock.now_ms(), ticket, queueing_delay_ms)
        self._apply_decisions()

    def leave(self, ticket: Ticket) -> None:
        """Remove a request from the counts and admit others."""
        self._admission.leave(ticket)
        self._apply_decisions()

    def _enter(self, request: AdmissionRequest) -> Ticket | NotRun:
        now_ms = self._clock.now_ms()
        if self._shares is None:
            return self._admission.enter(now_ms, request)
        local_limit = self._shares.local_limit(now_ms, request.account, request.limit)
        result = self._admission.enter(now_ms, replace(request, limit=local_limit))
        if isinstance(result, NotRun) and result.reason is Reason.OVER_LIMIT:
            self._shares.on_rejected(request.account)
        return result

    async def _wait(self, ticket: Ticket) -> None:
        decided = asyncio.Event()
        self._decided_by_ticket[id(ticket)] = decided
        try:
            self._apply_decisions()
            while not ticket.is_decided:
                remaining_ms = max(1, ticket.reject_at_ms - self._clock.now_ms())
                await within_ms(self._clock, remaining_ms, decided.wait())
                self._apply_decisions()
        finally:
            del self._decided_by_ticket[id(ticket)]

    def _apply_decisions(self) -> None:
        for ticket in self._admission.decide(self._clock.now_ms()):
            decided = self._decided_by_ticket.get(id(ticket))
            if decided is not None:
                decided.set()
