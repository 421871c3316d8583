"""Nodes that admit before they route, on a faked clock."""

from dataclasses import dataclass, field

from fireflyward.limits import Admission, AdmissionRequest, Ticket
from fireflyward.outcomes import NotRun

from ._balancing import MODEL, Balancing, Request, Shape, make_router

_TOKENS_PER_DECODED = 4
_DEADLINE_MS = 60_000
_NO_LIMIT = 1_000_000


@dataclass(slots=True)
class Refusals:
    """How many requests were refused, and how long they were held before."""

    held_ms: list[float] = field(default_factory=list)

    @property
    def at_once(self) -> int:
        return sum(1 for held_ms in self.held_ms if held_ms == 0)


class Limiting(Balancing):
    """``Balancing`` behind an ``Admission`` at each node."""

    def __init__(self, shape: Shape, *, seed: int = 1, chunked: bool = True) -> None:
        super().__init__(shape, make_router, seed=seed, chunked=chunked)
        self.admissions = [Admission() for _ in shape.node_domains]
        self.refusals = Refusals()
        self.first_token_by_account: dict[str, list[float]] = {}
        self._waiting: dict[int, tuple[Request, str]] = {}
        self._ticket_by_run: dict[str, Ticket] = {}
        self._request_by_run: dict[str, Request] = {}

    def _arrive(self, now_ms: float, request: Request, run_id: str) -> None:
        ask = AdmissionRequest(
            request.account,
            MODEL,
            request.prompt_tokens + _TOKENS_PER_DECODED * request.max_tokens,
            _NO_LIMIT,
            int(now_ms) + _DEADLINE_MS,
        )
        ticket = self.admissions[request.node].enter(int(now_ms), ask)
        if isinstance(ticket, NotRun):
            self.refusals.held_ms.append(0.0)
            return
        self._waiting[id(ticket)] = request, run_id
        self._ticket_by_run[run_id] = ticket
        self._at(ticket.reject_at_ms + 1, self._decide, request.node)
        self._decide(now_ms, request.node)

    def _decide(self, now_ms: float, node: int) -> None:
        for ticket in self.admissions[node].decide(int(now_ms)):
            request, run_id = self._waiting.pop(id(ticket))
            if ticket.rejection:
                self.refusals.held_ms.append(now_ms - request.at_ms)
                self.admissions[node].leave(ticket)
                del self._ticket_by_run[run_id]
            else:
                self._request_by_run[run_id] = request
                super()._arrive(now_ms, request, run_id)

    def _priority(self, run_id: str) -> int:
        return super()._priority(run_id) + self._ticket_by_run[run_id].is_beyond_share

    def _first_token(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        super()._first_token(now_ms, node, name, run_id)
        request = self._request_by_run[run_id]
        waited = self.first_token_by_account.setdefault(request.account, [])
        waited.append(now_ms - request.at_ms)
        late_ms = self._balancers[node].pop_queueing_delay_ms(run_id)
        ticket = self._ticket_by_run[run_id]
        self.admissions[node].on_first_token(int(now_ms), ticket, late_ms)
        self._decide(now_ms, node)

    def _end(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        super()._end(now_ms, node, name, run_id)
        self.admissions[node].leave(self._ticket_by_run.pop(run_id))
        self._decide(now_ms, node)
