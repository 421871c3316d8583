"""Decides who yields first while a service lacks capacity."""

import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ._fair_view import MAX_PRIORITY, SIZE_GROUPS, FairView
from ._group_sums import GroupKey, GroupKind, GroupSum, LocalSums, SumByGroup, name_hash
from ._peer_sums import PeerSums

log = logging.getLogger("fireflyward.limits")

# Added to the factor of a caller that returns. At a factor of 1 it may find a queue of
# 312 instead of 250 ms although it is late, a tenth of the time that the tags' callers
# have, who are the least patient.
_RETURNING_BONUS = 0.25
# A view is computed from all sums. Totals change every 500 ms.
_VIEW_MS = 100
# No replica's memory holds more tokens. Callers state the size of their requests, and a
# single wrong one would outweigh all accounts for minutes, until its sum has decayed.
_MAX_COST = 1_000_000
_SIZE_SAMPLES = 64
_MIN_SIZE_SAMPLES = 20
_LARGEST_SHARE = 0.1
_NEXT_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class FairRequest:
    """The properties of a request that fairness depends on.

    ``cost`` is that of ``request_cost``, ``size`` the tokens of the prompt, 0 for other
    requests. ``is_returning`` is true if the caller was probably rejected before.
    """

    service: str
    route: str
    account: str
    priority: int
    cost: int
    size: int = 0
    is_returning: bool = False
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class FairVerdict:
    """How much queue a request may find, relative to the base estimate's limit.

    The factor is 1 for that limit, and 0 for the shortest queue that keeps replicas
    busy.
    ``reason`` names what the factor depends on, empty if the service isn't short. The
    others are inputs: the pressure, the account's use relative to its fair share, and
    the age of the totals, None without totals. ``position_ms`` is how long the callers
    that were rejected earlier take, None if that isn't known.
    """

    factor: float = 1.0
    reason: str = ""
    pressure: float = 0.0
    account_ratio: float = 0.0
    age_ms: int | None = None
    position_ms: float | None = None


class FairAdmission:
    """Judges requests by the totals of all nodes, and records their outcome; no I/O.

    ``applies`` says whether the deployment calls for the rule now. Where it doesn't,
    all verdicts are neutral.

    The load that the rule addresses is a lasting shortage, in which the base estimate
    alone rejects those requests first whose objectives leave the least room for a
    queue: the short and urgent ones, those of accounts that send little, and callers
    that have been rejected before.

    >>> fairness = FairAdmission(LocalSums(), PeerSums())
    >>> fairness.judge(0, FairRequest("s", "r", "a", 0, 100)).factor
    1.0
    """

    __slots__ = (
        "_applies",
        "_peers",
        "_sizes_by_route",
        "_sums",
        "_views",
        "invalid_weights",
    )

    def __init__(
        self,
        sums: LocalSums,
        peers: PeerSums,
        *,
        applies: Callable[[], bool] = lambda: True,
    ) -> None:
        self._applies = applies
        self._sums = sums
        self._peers = peers
        self._views: dict[int, tuple[int, FairView | None]] = {}
        self._sizes_by_route: dict[tuple[str, str], _SizeGroups] = {}
        self.invalid_weights = 0

    def judge(self, now_ms: int, request: FairRequest) -> FairVerdict:
        """Return the verdict on a request; neutral without shortage or fresh totals."""
        if not self._applies():
            return FairVerdict()
        view = self._view(now_ms, name_hash(request.service))
        if view is None:
            return FairVerdict()
        if not view.pressure:
            return FairVerdict(age_ms=view.age_ms)
        factor, reason = self._factor(view, request)
        return FairVerdict(
            factor,
            reason,
            view.pressure,
            view.account_ratio(name_hash(request.account)),
            view.age_ms,
            view.position_ms,
        )

    def on_decision(
        self, now_ms: int, request: FairRequest, *, is_admitted: bool, is_late: bool
    ) -> None:
        """Record a decision; ``is_late`` if the base estimate shows a shortage."""
        if not self._applies():
            return
        change = GroupSum(
            arrived=not request.is_returning,
            admitted=is_admitted,
            rejected=not is_admitted,
            returned=request.is_returning,
        )
        self._add(now_ms, request, change, late=is_late)
        self._size_groups(request).add(request.size)

    def on_not_run(
        self, now_ms: int, request: FairRequest, *, is_late: bool = True
    ) -> None:
        """Record that a request that was admitted was rejected after all.

        ``is_late`` is true if replicas rejected it.
        """
        if not self._applies():
            return
        self._add(now_ms, request, GroupSum(admitted=-1, rejected=1), late=is_late)

    def size_group(self, request: FairRequest) -> int:
        """Return 2 for the largest tenth of the route, 1 for the next fifth, else 0."""
        return self._size_groups(request).group_of(request.size)

    def _factor(self, view: FairView, request: FairRequest) -> tuple[float, str]:
        account = name_hash(request.account)
        size_keys, size_group = _size_keys(request), self.size_group(request)
        bonus = 0.0
        if request.is_returning and not view.retries_excessively(account):
            bonus = _RETURNING_BONUS
        if view.protects_account(account) or view.protects_route(size_keys, size_group):
            return 1.0 + bonus, "protected"
        candidates = [
            (view.account_factor(account) if request.account else 1.0, "account"),
            (view.priority_factor(_priority(request)), "urgency"),
            (view.size_factor(size_keys, size_group), "size"),
        ]
        factor, reason = min(candidates)
        if factor == 1.0:
            reason = "returning" if bonus else "none"
        return factor + bonus, reason

    def _view(self, now_ms: int, service: int) -> FairView | None:
        cached = self._views.get(service)
        if cached is not None and now_ms - cached[0] < _VIEW_MS:
            return cached[1]
        view = self._view_of(now_ms, service, self._sums.pressure_sums(now_ms, service))
        if view is not None and view.pressure:
            view = self._view_of(
                now_ms, service, self._sums.of_service(now_ms, service)
            )
        self._views[service] = now_ms, view
        return view

    def _view_of(self, now_ms: int, service: int, own: SumByGroup) -> FairView | None:
        total = self._peers.total(now_ms, service, own)
        return FairView(total) if total is not None else None

    def _add(
        self, now_ms: int, request: FairRequest, change: GroupSum, *, late: bool
    ) -> None:
        cost = min(request.cost, _MAX_COST)
        by_cost = change.times(cost)._replace(weight=self._valid_weight(request))
        size_key = _size_keys(request)[self.size_group(request)]
        changes: dict[GroupKey, GroupSum] = {
            (GroupKind.SERVICE, 0): change,
            (GroupKind.COST, 0): by_cost,
            (GroupKind.PRIORITY, _priority(request)): change,
            (GroupKind.SIZE, size_key): change,
        }
        if request.account:
            changes[GroupKind.ACCOUNT, name_hash(request.account)] = by_cost
        if late:
            changes[GroupKind.LATE, 0] = GroupSum(arrived=1.0)
        self._sums.add(now_ms, name_hash(request.service), changes)

    def _valid_weight(self, request: FairRequest) -> float:
        """Return the account's weight; one that can't be used counts as 1."""
        if math.isfinite(request.weight) and request.weight > 0:
            return request.weight
        if not self.invalid_weights:
            log.warning(
                "limits: account %s has the weight %s, 1 is used",
                request.account,
                request.weight,
            )
        self.invalid_weights += 1
        return 1.0

    def _size_groups(self, request: FairRequest) -> "_SizeGroups":
        key = request.service, request.route
        return self._sizes_by_route.setdefault(key, _SizeGroups())


class _SizeGroups:
    """The sizes of a route's last prompts, by which new ones are grouped."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last: deque[int] = deque(maxlen=_SIZE_SAMPLES)

    def add(self, size: int) -> None:
        self._last.append(size)

    def group_of(self, size: int) -> int:
        """Return the group of a size; 0 while too few are known or all are equal."""
        if len(self._last) < _MIN_SIZE_SAMPLES:
            return 0
        larger = sum(known >= size for known in self._last) / len(self._last)
        if larger <= _LARGEST_SHARE:
            return 2
        return 1 if larger <= _NEXT_SHARE else 0


def _priority(request: FairRequest) -> int:
    """Return the priority, limited to those that replicas distinguish."""
    return min(request.priority, MAX_PRIORITY)


def _size_keys(request: FairRequest) -> list[int]:
    """Return the names of the route's size groups, from the smallest size."""
    return [name_hash(f"{request.route} {group}") for group in range(SIZE_GROUPS)]
