"""Replays callers that compete for replicas which prefill one prompt after another."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass

from fireflyward.forwarding._admission import Admission, LatencyEstimate
from fireflyward.limits import (
    FairAdmission,
    FairRequest,
    FairVerdict,
    LocalSums,
    PeerSums,
)

FIRST_EVENT_MS = 55.0


@dataclass(frozen=True)
class Group:
    """One of V's routes; ``weight`` is its part of the requests."""

    route: str
    priority: int
    objective_ms: float
    deadline_ms: float
    tokens: int
    weight: float


TAGS = Group("tags", 0, 422, 3_200, 507, 0.47)
QUESTIONS = Group("questions", 1, 319, 12_700, 177, 0.30)
LONG = Group("long", 2, 845, 12_700, 2_870, 0.23)
GROUPS = (TAGS, QUESTIONS, LONG)


class Replay:
    """Arrivals at ``load`` times the capacity; each caller retries once."""

    def __init__(self, *, is_fair, load, seconds, accounts, replicas=4, seed=1):
        self.random = random.Random(seed)
        self.sums = LocalSums()
        peers = PeerSums()
        peers.set_alone(True)
        self.fairness = FairAdmission(self.sums, peers) if is_fair else None
        self.admission = Admission(seed=seed)
        self.free_at = [0.0] * replicas
        self.callers, self.served = Counter(), Counter()
        self.in_time = 0
        self.work_ms = 0.0
        self.reasons = Counter()
        self._run(load, seconds, accounts, replicas)

    def share(self, name):
        return self.served[name] / self.callers[name]

    def _run(self, load, seconds, accounts, replicas):
        mean_ms = sum(group.weight * _own_ms(group) for group in GROUPS)
        per_ms = load * replicas / mean_ms
        events, number, at_ms = [], 0, 0.0
        while at_ms < seconds * 1_000:
            at_ms += self.random.expovariate(per_ms)
            group = self.random.choices(GROUPS, [x.weight for x in GROUPS])[0]
            account = self.random.choices(list(accounts), list(accounts.values()))[0]
            tokens = int(group.tokens * self.random.lognormvariate(-0.1, 0.45))
            self.callers.update((group.route, account, "all"))
            events.append((at_ms, number, 0.0, group, account, tokens))
            number += 1
        while events:
            event = heapq.heappop(events)
            now_ms, number, spent_ms, group, account, tokens = event
            rejection = self._decide(now_ms, spent_ms, group, account, tokens)
            if rejection is None:
                self.served.update((group.route, account, "all"))
            elif not spent_ms:
                wait_ms = rejection.retry_after_ms + 6
                retry = (now_ms + wait_ms, number, wait_ms, group, account, tokens)
                heapq.heappush(events, retry)

    def _decide(self, now_ms, spent_ms, group, account, tokens):
        replica = min(range(len(self.free_at)), key=self.free_at.__getitem__)
        own_ms = tokens / 125
        queue_ms = max(0.0, self.free_at[replica] - now_ms)
        estimate = LatencyEstimate(
            queue_ms,
            queue_ms + own_ms + FIRST_EVENT_MS,
            group.objective_ms - spent_ms,
            group.deadline_ms - spent_ms,
        )
        request = FairRequest(
            "s",
            group.route,
            account,
            group.priority,
            tokens,
            tokens,
            is_returning=spent_ms >= 100,
        )
        verdict = FairVerdict()
        if self.fairness is not None:
            verdict = self.fairness.judge(int(now_ms), request)
            self.reasons[verdict.reason] += 1
        rejection = self.admission.check(estimate, verdict)
        if self.fairness is not None:
            is_late = self.admission.shows_shortage(estimate, is_returning=spent_ms > 0)
            self.fairness.on_decision(
                int(now_ms), request, is_admitted=rejection is None, is_late=is_late
            )
        if rejection is None:
            self.free_at[replica] = now_ms + queue_ms + own_ms
            self.work_ms += own_ms
            self.in_time += not self.admission.is_late(estimate)
        return rejection


def _own_ms(group):
    return group.tokens / 125
