"""Simulates nodes that apply admission control before they choose a replica."""

from dataclasses import dataclass, field

from fireflyward.limits import Admission, AdmissionRequest, Ticket
from fireflyward.outcomes import NotRun

from ._balancing import (
    MODEL,
    BalancingSimulation,
    DeploymentShape,
    Request,
    make_router,
)

_PROMPT_TOKENS_PER_DECODED = 4
_DEADLINE_MS = 60_000
_NO_LIMIT = 1_000_000


@dataclass(slots=True)
class Rejections:
    """The rejected requests and how long each was queued before its rejection."""

    queued_ms: list[float] = field(default_factory=list)

    @property
    def immediate_count(self) -> int:
        return sum(1 for queued_ms in self.queued_ms if queued_ms == 0)


class LimitingSimulation(BalancingSimulation):
    """``BalancingSimulation`` with an ``Admission`` at each node."""

    def __init__(
        self, shape: DeploymentShape, *, seed: int = 1, chunked: bool = True
    ) -> None:
        super().__init__(shape, make_router, seed=seed, chunked=chunked)
        self.admissions = [Admission() for _ in shape.node_domains]
        self.rejections = Rejections()
        self.first_token_ms_by_account: dict[str, list[float]] = {}
        self._queued_by_ticket: dict[int, tuple[Request, str]] = {}
        self._ticket_by_run: dict[str, Ticket] = {}
        self._request_by_run: dict[str, Request] = {}

    def _on_arrival(self, now_ms: float, request: Request, run_id: str) -> None:
        admission_request = AdmissionRequest(
            request.account,
            MODEL,
            request.prompt_tokens + _PROMPT_TOKENS_PER_DECODED * request.max_tokens,
            _NO_LIMIT,
            int(now_ms) + _DEADLINE_MS,
        )
        ticket = self.admissions[request.node].enter(int(now_ms), admission_request)
        if isinstance(ticket, NotRun):
            self.rejections.queued_ms.append(0.0)
            return
        self._queued_by_ticket[id(ticket)] = request, run_id
        self._ticket_by_run[run_id] = ticket
        self._schedule(ticket.reject_at_ms + 1, self._admit, request.node)
        self._admit(now_ms, request.node)

    def _admit(self, now_ms: float, node: int) -> None:
        for ticket in self.admissions[node].decide(int(now_ms)):
            request, run_id = self._queued_by_ticket.pop(id(ticket))
            if ticket.rejection:
                self.rejections.queued_ms.append(now_ms - request.at_ms)
                self.admissions[node].leave(ticket)
                del self._ticket_by_run[run_id]
            else:
                self._request_by_run[run_id] = request
                super()._on_arrival(now_ms, request, run_id)

    def _priority(self, run_id: str) -> int:
        return super()._priority(run_id) + self._ticket_by_run[run_id].is_beyond_share

    def _on_first_token(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        super()._on_first_token(now_ms, node, name, run_id)
        request = self._request_by_run[run_id]
        first_token_ms = self.first_token_ms_by_account.setdefault(request.account, [])
        first_token_ms.append(now_ms - request.at_ms)
        queueing_delay_ms = self._balancers[node].pop_queueing_delay_ms(run_id)
        ticket = self._ticket_by_run[run_id]
        self.admissions[node].on_first_token(int(now_ms), ticket, queueing_delay_ms)
        self._admit(now_ms, node)

    def _on_end(self, now_ms: float, node: int, name: str, run_id: str) -> None:
        super()._on_end(now_ms, node, name, run_id)
        self.admissions[node].leave(self._ticket_by_run.pop(run_id))
        self._admit(now_ms, node)
