"""Decides which requests are admitted, which wait and which are rejected."""

from collections import deque
from dataclasses import dataclass, field

from fireflyward.invariants import Invariant, require
from fireflyward.outcomes import NotRun, Reason

from ._fair_queue import FairQueue, Waiter
from ._fair_share import share_of_weights
from ._retry_after import MAX_RETRY_AFTER_MS, bounded_retry_after_ms
from ._window import Window

_MIN_RETRY_AFTER_MS = 1_000
_MAX_WAITING_REQUESTS = 4_096
_RATE_SAMPLES = 64
_MAX_WINDOW_SHARE = 0.8
_OTHER_ACCOUNT_RECENT_MS = 10_000
_LIGHT_REQUEST_WINDOWS = 2
_MANY_WAITING_REQUESTS = 4
_HEAVY_ACCOUNT_MS = 10_000
_NEVER_MS = -_OTHER_ACCOUNT_RECENT_MS


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request on which admission decides.

    ``cost`` is in tokens. ``limit`` is the number of requests that the account may
    have in flight at this node. ``deadline_ms`` is the time when the caller stops
    waiting.
    """

    account: str
    model: str
    cost: float
    limit: int
    deadline_ms: int
    weight: int = 1


@dataclass(slots=True)
class Ticket:
    """A request that waits or was admitted; the caller passes it to ``leave``.

    ``is_pending`` is true from the admission until the first token, or until the
    request leaves. ``is_beyond_share`` is true if the account recently had several
    requests waiting, that is, requested more than its share. Engines should run the
    request after those of accounts that did not.
    """

    request: AdmissionRequest
    waiter: Waiter
    reject_at_ms: int
    admitted_ms: int | None = None
    is_pending: bool = False
    is_beyond_share: bool = False
    rejection: NotRun | None = None

    @property
    def is_decided(self) -> bool:
        return self.admitted_ms is not None or self.rejection is not None


@dataclass(slots=True)
class _ModelState:
    """The queue and window of one model; each model has its own replicas."""

    queue: FairQueue = field(default_factory=FairQueue)
    window: Window = field(default_factory=Window)
    ticket_by_waiter: dict[int, Ticket] = field(default_factory=dict)
    pending_by_account: dict[str, int] = field(default_factory=dict)
    heavy_ms_by_account: dict[str, int] = field(default_factory=dict)
    last_arrival: tuple[str, int] = ("", _NEVER_MS)
    last_arrival_of_other: tuple[str, int] = ("", _NEVER_MS)
    admitted: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=_RATE_SAMPLES)
    )

    def pending(self) -> int:
        return sum(self.pending_by_account.values())

    def record_arrival(self, now_ms: int, account: str) -> None:
        """Record a new request.

        ``last_arrival`` becomes this request; ``last_arrival_of_other`` is the last one
        of another account. An account with several waiting requests is recorded as
        heavy, which means that it requests more than its share.
        """
        if self.queue.waiting_requests(account) >= _MANY_WAITING_REQUESTS:
            self.heavy_ms_by_account[account] = now_ms
        if account != self.last_arrival[0]:
            self.last_arrival_of_other = self.last_arrival
        self.last_arrival = account, now_ms

    def is_light(self, now_ms: int, account: str) -> bool:
        """Return whether an account has recently requested no more than its share."""
        heavy_ms = self.heavy_ms_by_account.get(account)
        if heavy_ms is None:
            return True
        if now_ms - heavy_ms < _HEAVY_ACCOUNT_MS:
            return False
        del self.heavy_ms_by_account[account]
        return True

    def last_other_arrival_ms(self, account: str) -> int:
        """Return the time of the last request of any other account."""
        return (
            self.last_arrival
            if self.last_arrival[0] != account
            else self.last_arrival_of_other
        )[1]


class Admission:
    """Admits, queues or rejects requests; does no I/O.

    ``enter`` returns a ticket for a request, and ``decide`` returns the tickets that
    were admitted or rejected since the last call. A request is admitted if the number
    of runs that wait for a first token is below the adaptive window of its model.
    Otherwise it waits in the fair queue, for ``queue_limit_ms`` at most and not past
    its deadline. If it is not expected to be admitted by then, it is rejected on
    arrival.
    """

    __slots__ = ("_in_flight_by_account", "_state_by_model", "_queue_limit_ms")

    def __init__(self, *, queue_limit_ms: int = 2_000) -> None:
        self._queue_limit_ms = queue_limit_ms
        self._state_by_model: dict[str, _ModelState] = {}
        self._in_flight_by_account: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"Admission({self.total()} in flight)"

    def total(self) -> int:
        """Return the number of requests that wait or run at this node."""
        return sum(self._in_flight_by_account.values())

    def in_flight(self, account: str) -> int:
        """Return the number of an account's requests that wait or run."""
        return self._in_flight_by_account.get(account, 0)

    def enter(self, now_ms: int, request: AdmissionRequest) -> Ticket | NotRun:
        """Add a request and return its ticket, or return why it is rejected at once."""
        state = self._state_by_model.setdefault(request.model, _ModelState())
        rejection = self._immediate_rejection(now_ms, state, request)
        if rejection:
            return rejection
        reject_at_ms = min(now_ms + self._queue_limit_ms, request.deadline_ms)
        ticket = Ticket(
            request, Waiter(request.account, request.weight, request.cost), reject_at_ms
        )
        state.queue.push(ticket.waiter)
        state.ticket_by_waiter[id(ticket.waiter)] = ticket
        state.record_arrival(now_ms, request.account)
        self._in_flight_by_account[request.account] = (
            self.in_flight(request.account) + 1
        )
        return ticket

    def decide(self, now_ms: int) -> list[Ticket]:
        """Return the tickets admitted now or rejected after waiting too long."""
        decided = []
        for state in self._state_by_model.values():
            decided.extend(self._reject_late(now_ms, state))
            decided.extend(self._admit(now_ms, state))
        return decided

    def on_first_token(
        self, now_ms: int, ticket: Ticket, queueing_delay_ms: float | None
    ) -> None:
        """Record the end of a run's prefill.

        ``queueing_delay_ms`` is the time that the run waited in addition to its
        prefill. It may be None if the run failed.
        """
        if not ticket.is_pending:
            return
        state = self._state_by_model[ticket.request.model]
        was_full = state.pending() + 1 > state.window.size
        if queueing_delay_ms is not None:
            state.window.on_first_token(now_ms, queueing_delay_ms, was_full=was_full)
        self._remove_pending(state, ticket)

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that finished or was rejected, or whose caller left."""
        state = self._state_by_model[ticket.request.model]
        if state.ticket_by_waiter.pop(id(ticket.waiter), None):
            state.queue.remove(ticket.waiter)
        self._remove_pending(state, ticket)
        account = ticket.request.account
        remaining = self.in_flight(account) - 1
        require(
            remaining >= 0,
            Invariant.IN_FLIGHT,
            "%s left more often than it entered",
            account,
        )
        if remaining:
            self._in_flight_by_account[account] = remaining
        else:
            del self._in_flight_by_account[account]

    def _immediate_rejection(
        self, now_ms: int, state: _ModelState, request: AdmissionRequest
    ) -> NotRun | None:
        in_flight = self.in_flight(request.account)
        if in_flight >= request.limit:
            detail = (
                f"account {request.account} has {in_flight} requests in flight here"
            )
            return NotRun(Reason.OVER_LIMIT, detail, _MIN_RETRY_AFTER_MS)
        if request.deadline_ms <= now_ms:
            return NotRun(
                Reason.DEADLINE, "the deadline has passed", _MIN_RETRY_AFTER_MS
            )
        wait_ms = self._wait_ms(now_ms, state, request)
        if now_ms + wait_ms > request.deadline_ms:
            detail = f"the estimated wait of {wait_ms:.0f} ms exceeds the deadline"
            return NotRun(Reason.DEADLINE, detail, _retry_after_ms(wait_ms))
        if wait_ms > self._queue_limit_ms or len(state.queue) >= _MAX_WAITING_REQUESTS:
            detail = f"the estimated wait is {wait_ms:.0f} ms"
            return NotRun(Reason.OVERLOADED, detail, _retry_after_ms(wait_ms))
        return None

    def _wait_ms(
        self, now_ms: int, state: _ModelState, request: AdmissionRequest
    ) -> float:
        """Return the estimated wait, given the account's share of the recent rate.

        The rate is that of the admissions since the queue was last empty. With fewer
        than 16 of them the estimate is 0, because so few do not justify a rejection.
        """
        ahead = state.queue.waiting_cost(request.account)
        if not ahead or len(state.admitted) < _RATE_SAMPLES // 4:
            return 0.0
        span_ms = max(1, now_ms - state.admitted[0][0])
        rate = sum(cost for _, cost in state.admitted) / span_ms
        share = share_of_weights(
            request.weight, state.queue.weight_of_others(request.account)
        )
        return ahead / (rate * share)

    def _admit(self, now_ms: int, state: _ModelState) -> list[Ticket]:
        admitted = []
        while state.queue:
            waiter = self._next(now_ms, state)
            if waiter is None:
                break
            ticket = state.ticket_by_waiter.pop(id(waiter))
            ticket.admitted_ms = now_ms
            ticket.is_pending = True
            ticket.is_beyond_share = not state.is_light(now_ms, waiter.account)
            pending = state.pending_by_account.get(waiter.account, 0)
            state.pending_by_account[waiter.account] = pending + 1
            state.admitted.append((now_ms, waiter.cost))
            admitted.append(ticket)
        if not state.queue:
            state.admitted.clear()
        return admitted

    def _next(self, now_ms: int, state: _ModelState) -> Waiter | None:
        """Remove and return the next request that may be admitted, or None.

        If the window is full, up to twice the window is admitted from light accounts
        that have no other run waiting for its first token, so that such a request
        does not wait until the prefill of another account ends.
        """
        pending = state.pending()
        if pending < int(state.window.size):
            return state.queue.pop(lambda name: _may_use_window(now_ms, state, name))
        if pending < _LIGHT_REQUEST_WINDOWS * int(state.window.size):
            return state.queue.pop(
                lambda name: (
                    name not in state.pending_by_account
                    and state.is_light(now_ms, name)
                )
            )
        return None

    def _reject_late(self, now_ms: int, state: _ModelState) -> list[Ticket]:
        late = [
            ticket
            for ticket in state.ticket_by_waiter.values()
            if ticket.reject_at_ms <= now_ms
        ]
        for ticket in late:
            del state.ticket_by_waiter[id(ticket.waiter)]
            state.queue.remove(ticket.waiter)
            ticket.rejection = self._late_rejection(ticket)
        return late

    def _late_rejection(self, ticket: Ticket) -> NotRun:
        if ticket.reject_at_ms == ticket.request.deadline_ms:
            detail = "the deadline passed before admission"
            return NotRun(Reason.DEADLINE, detail, _MIN_RETRY_AFTER_MS)
        detail = f"not admitted within {self._queue_limit_ms} ms"
        return NotRun(Reason.OVERLOADED, detail, _retry_after_ms(self._queue_limit_ms))

    def _remove_pending(self, state: _ModelState, ticket: Ticket) -> None:
        if not ticket.is_pending:
            return
        ticket.is_pending = False
        remaining = state.pending_by_account[ticket.request.account] - 1
        if remaining:
            state.pending_by_account[ticket.request.account] = remaining
        else:
            del state.pending_by_account[ticket.request.account]


def _may_use_window(now_ms: int, state: _ModelState, account: str) -> bool:
    """Return whether an account may have another run in the window.

    If another account had a request in the last ten seconds, one account may use at
    most four fifths of the window. An admitted run cannot be cancelled again: if one
    account occupied all of the window, the next request of another account would have
    to wait until a prefill ends. With a fifth of the window left free, that request
    starts at once.
    """
    max_pending = max(1, int(_MAX_WINDOW_SHARE * state.window.size))
    if state.pending_by_account.get(account, 0) < max_pending:
        return True
    return now_ms - state.last_other_arrival_ms(account) >= _OTHER_ACCOUNT_RECENT_MS


def _retry_after_ms(wait_ms: float) -> int:
    return bounded_retry_after_ms(
        wait_ms, min_ms=_MIN_RETRY_AFTER_MS, max_ms=MAX_RETRY_AFTER_MS
    )
