"""Which requests go to the upstreams now, which wait, and which are refused."""

from collections import deque
from dataclasses import dataclass, field

from fireflyward.invariants import Invariant, require
from fireflyward.outcomes import NotRun, Reason

from ._fair_queue import FairQueue, Waiter
from ._window import Window

_LEAST_RETRY_MS = 1_000
_MOST_RETRY_MS = 30_000
_MOST_WAITING = 4_096
_RATE_MEMORY = 64
_LARGEST_SHARE = 0.8
_SHARED_FOR_MS = 10_000
_SINGLES_BEYOND = 2
_CROWD = 4
_CROWDED_FOR_MS = 10_000
_NEVER_MS = -_SHARED_FOR_MS


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request as admission sees it: who, for which model, how much work.

    ``cost`` is in tokens; ``limit`` is how many requests the account may have
    here at once; ``deadline_ms`` is when the caller stops waiting.
    """

    account: str
    model: str
    cost: float
    limit: int
    deadline_ms: int
    weight: int = 1


@dataclass(slots=True)
class Ticket:
    """A request that waits or was admitted; the key to leave by.

    ``is_beyond_share`` tells that its account lately kept several waiting, so that
    it asks for more than its share; engines should put it behind the runs of
    accounts that do not.
    """

    ask: AdmissionRequest
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
class _Lane:
    """What is kept for one model, since each has replicas of its own."""

    queue: FairQueue = field(default_factory=FairQueue)
    window: Window = field(default_factory=Window)
    ticket_by_waiter: dict[int, Ticket] = field(default_factory=dict)
    pending_by_account: dict[str, int] = field(default_factory=dict)
    crowded_ms_by_account: dict[str, int] = field(default_factory=dict)
    latest: tuple[str, int] = ("", _NEVER_MS)
    latest_other: tuple[str, int] = ("", _NEVER_MS)
    admitted: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=_RATE_MEMORY)
    )

    def pending(self) -> int:
        return sum(self.pending_by_account.values())

    def see(self, now_ms: int, account: str) -> None:
        """Remember the last request, and the last of another account than that.

        An account that keeps several waiting asks for more than its share.
        """
        if self.queue.waiting_of(account) >= _CROWD:
            self.crowded_ms_by_account[account] = now_ms
        if account != self.latest[0]:
            self.latest_other = self.latest
        self.latest = account, now_ms

    def is_light(self, now_ms: int, account: str) -> bool:
        """Tell whether an account has lately asked for less than its share."""
        crowded_ms = self.crowded_ms_by_account.get(account)
        if crowded_ms is None:
            return True
        if now_ms - crowded_ms < _CROWDED_FOR_MS:
            return False
        del self.crowded_ms_by_account[account]
        return True

    def other_seen_ms(self, account: str) -> int:
        """Return when an account other than this one last asked."""
        return (self.latest if self.latest[0] != account else self.latest_other)[1]


class Admission:
    """Decides without I/O; ``enter`` gives a ticket, ``decide`` settles tickets.

    A request is admitted when fewer runs wait for a first token than the learnt
    window of its model holds. Otherwise it waits in the fair queue, for at most
    ``queue_limit_ms`` and never past its deadline. If the queue would not reach it
    by then, it is refused the moment it arrives.
    """

    __slots__ = ("_in_flight_by_account", "_lane_by_model", "_queue_limit_ms")

    def __init__(self, *, queue_limit_ms: int = 2_000) -> None:
        self._queue_limit_ms = queue_limit_ms
        self._lane_by_model: dict[str, _Lane] = {}
        self._in_flight_by_account: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"Admission({self.total()} in flight)"

    def total(self) -> int:
        """Return the number of requests that wait or run at this node."""
        return sum(self._in_flight_by_account.values())

    def in_flight(self, account: str) -> int:
        """Return the number of an account's requests that wait or run."""
        return self._in_flight_by_account.get(account, 0)

    def enter(self, now_ms: int, ask: AdmissionRequest) -> Ticket | NotRun:
        """Count a request in, or say why it is refused at once."""
        lane = self._lane_by_model.setdefault(ask.model, _Lane())
        rejection = self._refusal(now_ms, lane, ask)
        if rejection:
            return rejection
        reject_at_ms = min(now_ms + self._queue_limit_ms, ask.deadline_ms)
        ticket = Ticket(ask, Waiter(ask.account, ask.weight, ask.cost), reject_at_ms)
        lane.queue.push(ticket.waiter)
        lane.ticket_by_waiter[id(ticket.waiter)] = ticket
        lane.see(now_ms, ask.account)
        self._in_flight_by_account[ask.account] = self.in_flight(ask.account) + 1
        return ticket

    def decide(self, now_ms: int) -> list[Ticket]:
        """Return the tickets that are settled now: admitted, or refused as late."""
        settled = []
        for lane in self._lane_by_model.values():
            settled.extend(self._refuse_late(now_ms, lane))
            settled.extend(self._admit(now_ms, lane))
        return settled

    def on_first_token(
        self, now_ms: int, ticket: Ticket, late_ms: float | None
    ) -> None:
        """Take the end of a run's prefill, ``late_ms`` after it could have ended.

        Of a run that failed nothing may be known; ``late_ms`` is then None.
        """
        if not ticket.is_pending:
            return
        lane = self._lane_by_model[ticket.ask.model]
        was_full = lane.pending() + 1 > lane.window.size
        if late_ms is not None:
            lane.window.on_first_token(now_ms, late_ms, was_full=was_full)
        self._end_pending(lane, ticket)

    def leave(self, ticket: Ticket) -> None:
        """Count a request out, whether it ran, was refused or its caller went."""
        lane = self._lane_by_model[ticket.ask.model]
        if lane.ticket_by_waiter.pop(id(ticket.waiter), None):
            lane.queue.remove(ticket.waiter)
        self._end_pending(lane, ticket)
        account = ticket.ask.account
        left = self.in_flight(account) - 1
        require(left >= 0, Invariant.IN_FLIGHT, "%s left once too often", account)
        if left:
            self._in_flight_by_account[account] = left
        else:
            del self._in_flight_by_account[account]

    def _refusal(
        self, now_ms: int, lane: _Lane, ask: AdmissionRequest
    ) -> NotRun | None:
        in_flight = self.in_flight(ask.account)
        if in_flight >= ask.limit:
            detail = f"account {ask.account} has {in_flight} requests in flight here"
            return NotRun(Reason.OVER_LIMIT, detail, _LEAST_RETRY_MS)
        if ask.deadline_ms <= now_ms:
            return NotRun(Reason.DEADLINE, "the deadline has passed", _LEAST_RETRY_MS)
        wait_ms = self._wait_ms(now_ms, lane, ask)
        if now_ms + wait_ms > ask.deadline_ms:
            detail = f"its turn would come in {wait_ms:.0f} ms, after its deadline"
            return NotRun(Reason.DEADLINE, detail, _retry_ms(wait_ms))
        if wait_ms > self._queue_limit_ms or len(lane.queue) >= _MOST_WAITING:
            detail = f"its turn would come in {wait_ms:.0f} ms"
            return NotRun(Reason.OVERLOADED, detail, _retry_ms(wait_ms))
        return None

    def _wait_ms(self, now_ms: int, lane: _Lane, ask: AdmissionRequest) -> float:
        """Return when the account's share of the recent rate reaches this request.

        The rate is that of the admissions since the queue was last empty; before
        there are enough, nothing is known that would justify a refusal.
        """
        ahead = lane.queue.cost_of(ask.account)
        if not ahead or len(lane.admitted) < _RATE_MEMORY // 4:
            return 0.0
        span_ms = max(1, now_ms - lane.admitted[0][0])
        rate = sum(cost for _, cost in lane.admitted) / span_ms
        share = ask.weight / (ask.weight + lane.queue.weight_beside(ask.account))
        return ahead / (rate * share)

    def _admit(self, now_ms: int, lane: _Lane) -> list[Ticket]:
        admitted = []
        while lane.queue:
            waiter = self._next(now_ms, lane)
            if waiter is None:
                break
            ticket = lane.ticket_by_waiter.pop(id(waiter))
            ticket.admitted_ms = now_ms
            ticket.is_pending = True
            ticket.is_beyond_share = not lane.is_light(now_ms, waiter.account)
            pending = lane.pending_by_account.get(waiter.account, 0)
            lane.pending_by_account[waiter.account] = pending + 1
            lane.admitted.append((now_ms, waiter.cost))
            admitted.append(ticket)
        if not lane.queue:
            lane.admitted.clear()
        return admitted

    def _next(self, now_ms: int, lane: _Lane) -> Waiter | None:
        """Take the next request that may go out of the queue.

        Beyond the window only a light account's single request goes, so that it
        need not wait for a prefill of another account to end.
        """
        pending = lane.pending()
        if pending < int(lane.window.size):
            return lane.queue.pop(lambda name: _is_in_share(now_ms, lane, name))
        if pending < _SINGLES_BEYOND * int(lane.window.size):
            return lane.queue.pop(
                lambda name: (
                    name not in lane.pending_by_account and lane.is_light(now_ms, name)
                )
            )
        return None

    def _refuse_late(self, now_ms: int, lane: _Lane) -> list[Ticket]:
        late = [
            ticket
            for ticket in lane.ticket_by_waiter.values()
            if ticket.reject_at_ms <= now_ms
        ]
        for ticket in late:
            del lane.ticket_by_waiter[id(ticket.waiter)]
            lane.queue.remove(ticket.waiter)
            ticket.rejection = self._late_refusal(ticket)
        return late

    def _late_refusal(self, ticket: Ticket) -> NotRun:
        if ticket.reject_at_ms == ticket.ask.deadline_ms:
            detail = "the deadline came before its turn"
            return NotRun(Reason.DEADLINE, detail, _LEAST_RETRY_MS)
        detail = f"no turn within {self._queue_limit_ms} ms"
        return NotRun(Reason.OVERLOADED, detail, _retry_ms(self._queue_limit_ms))

    def _end_pending(self, lane: _Lane, ticket: Ticket) -> None:
        if not ticket.is_pending:
            return
        ticket.is_pending = False
        left = lane.pending_by_account[ticket.ask.account] - 1
        if left:
            lane.pending_by_account[ticket.ask.account] = left
        else:
            del lane.pending_by_account[ticket.ask.account]


def _is_in_share(now_ms: int, lane: _Lane, account: str) -> bool:
    """Tell whether an account leaves room for others that were here lately.

    A run that was admitted cannot be taken back. If one account held the whole
    window, the next request of another would wait for a prefill to end; with a
    fifth of the window kept free it starts at once.
    """
    most = max(1, int(_LARGEST_SHARE * lane.window.size))
    if lane.pending_by_account.get(account, 0) < most:
        return True
    return now_ms - lane.other_seen_ms(account) >= _SHARED_FOR_MS


def _retry_ms(wait_ms: float) -> int:
    return int(min(_MOST_RETRY_MS, max(_LEAST_RETRY_MS, wait_ms)))
