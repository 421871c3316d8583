"""What makes requests wait for their admission."""

import asyncio
from dataclasses import replace

from fireflyward.clock import Clock, within_ms
from fireflyward.outcomes import NotRun, Reason

from ._account_shares import AccountShares
from ._admission import Admission, AdmissionRequest, Ticket


class AdmissionGate:
    """Holds each request at ``enter`` until admission settles its ticket.

        ticket = await gate.enter(ask)
        if isinstance(ticket, NotRun):
            return ticket
        try:
            ...
        finally:
            gate.leave(ticket)

    A refusal is handed out the moment it is known, and nothing of a refused
    request has been given to an upstream, so its "not run" is true.
    """

    __slots__ = ("_admission", "_clock", "_settled_by_ticket", "_shares")

    def __init__(self, clock: Clock, admission: Admission | None = None) -> None:
        self._clock = clock
        self._admission = admission or Admission()
        self._settled_by_ticket: dict[int, asyncio.Event] = {}
        self._shares: AccountShares | None = None

    def __repr__(self) -> str:
        return f"AdmissionGate({self._admission!r})"

    @property
    def admission(self) -> Admission:
        return self._admission

    def share_limits(self, shares: AccountShares) -> None:
        """Hold accounts to this node's part of their limits from now on."""
        self._shares = shares

    def total(self) -> int:
        """Return the number of requests that wait or run at this node."""
        return self._admission.total()

    async def enter(self, ask: AdmissionRequest) -> Ticket | NotRun:
        """Return once the request may run, or with its refusal."""
        ticket = self._enter(ask)
        if isinstance(ticket, NotRun):
            return ticket
        try:
            await self._wait(ticket)
        except BaseException:
            # A caller that goes while it waits raises here. Its place would stay
            # counted for ever, seen as an account at its limit without a request.
            self.leave(ticket)
            raise
        if ticket.rejection:
            self.leave(ticket)
            return ticket.rejection
        return ticket

    def on_first_token(self, ticket: Ticket, late_ms: float | None) -> None:
        """Take the end of a run's prefill; ``late_ms`` as ``Admission`` takes it."""
        self._admission.on_first_token(self._clock.now_ms(), ticket, late_ms)
        self._settle()

    def leave(self, ticket: Ticket) -> None:
        """Count a request out and let others in."""
        self._admission.leave(ticket)
        self._settle()

    def _enter(self, ask: AdmissionRequest) -> Ticket | NotRun:
        now_ms = self._clock.now_ms()
        if self._shares is None:
            return self._admission.enter(now_ms, ask)
        part = self._shares.local_limit(now_ms, ask.account, ask.limit)
        result = self._admission.enter(now_ms, replace(ask, limit=part))
        if isinstance(result, NotRun) and result.reason is Reason.OVER_LIMIT:
            self._shares.on_rejected(ask.account)
        return result

    async def _wait(self, ticket: Ticket) -> None:
        settled = asyncio.Event()
        self._settled_by_ticket[id(ticket)] = settled
        try:
            self._settle()
            while not ticket.is_decided:
                left_ms = max(1, ticket.reject_at_ms - self._clock.now_ms())
                await within_ms(self._clock, left_ms, settled.wait())
                self._settle()
        finally:
            del self._settled_by_ticket[id(ticket)]

    def _settle(self) -> None:
        for ticket in self._admission.decide(self._clock.now_ms()):
            settled = self._settled_by_ticket.get(id(ticket))
            if settled is not None:
                settled.set()
