"""Start-time fair queueing among client accounts, weighted by account."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Waiter:
    """One request in the queue; ``cost`` is its work in tokens.

    ``start`` is its start time in virtual time: the cost of the account's earlier
    requests, divided by the account's weight.
    """

    account: str
    weight: int
    cost: float
    start: float = 0.0
    is_removed: bool = False


@dataclass(slots=True)
class _Account:
    last_finish: float = 0.0
    waiters: deque[Waiter] = field(default_factory=deque)
    cost: float = 0.0


class FairQueue:
    """Orders requests so that a large account delays a small one by one request.

    In virtual time, a request starts when the previous request of its account
    finishes, but not before the start of the request that was served last. The queue
    returns the request with the earliest start. Requests of an account with few
    requests are therefore served first, those of an account with many requests wait
    behind each other, and an account gets no credit for time in which it was idle.

    >>> queue = FairQueue()
    >>> for account in ("large", "large", "large", "small"):
    ...     queue.push(Waiter(account, 1, 10.0))
    >>> [queue.pop().account for _ in range(4)]
    ['large', 'small', 'large', 'large']
    """

    __slots__ = ("_account_by_name", "_heads", "_order", "_virtual_time", "_waiting")

    def __init__(self) -> None:
        self._account_by_name: dict[str, _Account] = {}
        self._heads: list[tuple[float, int, Waiter]] = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its account."""
        account = self._account_by_name.setdefault(waiter.account, _Account())
        waiter.start = max(self._virtual_time, account.last_finish)
        account.last_finish = waiter.start + waiter.cost / waiter.weight
        account.cost += waiter.cost
        account.waiters.append(waiter)
        self._waiting += 1
        if len(account.waiters) == 1:
            self._push_head(waiter)

    def pop(
        self, is_allowed: Callable[[str], bool] = lambda account: True
    ) -> Waiter | None:
        """Remove and return the first request whose account ``is_allowed`` accepts.

        Returns None if there is no such request.
        """
        skipped: list[tuple[float, int, Waiter]] = []
        found = None
        while self._heads and found is None:
            head = heapq.heappop(self._heads)
            waiter = head[2]
            if waiter.is_removed:
                continue
            if is_allowed(waiter.account):
                found = waiter
            else:
                skipped.append(head)
        for head in skipped:
            heapq.heappush(self._heads, head)
        if found is not None:
            self._virtual_time = max(self._virtual_time, found.start)
            self._remove_waiter(found)
        return found

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that was rejected or whose caller disconnected.

        Its cost is not charged to its account: the account's later requests move up.
        """
        account = self._account_by_name[waiter.account]
        share = waiter.cost / waiter.weight
        for item in account.waiters:
            if item.start > waiter.start:
                item.start -= share
        account.last_finish -= share
        self._remove_waiter(waiter)

    def waiting_cost(self, account: str) -> float:
        """Return the total cost of an account's waiting requests."""
        found = self._account_by_name.get(account)
        return found.cost if found else 0.0

    def waiting_requests(self, account: str) -> int:
        """Return the number of an account's waiting requests."""
        found = self._account_by_name.get(account)
        return len(found.waiters) if found else 0

    def weight_of_others(self, account: str) -> int:
        """Return the total weight of the other accounts with waiting requests."""
        return sum(
            item.waiters[0].weight
            for name, item in self._account_by_name.items()
            if item.waiters and name != account
        )

    def _remove_waiter(self, waiter: Waiter) -> None:
        account = self._account_by_name[waiter.account]
        was_head = account.waiters[0] is waiter
        account.waiters.remove(waiter)
        account.cost = max(0.0, account.cost - waiter.cost)
        waiter.is_removed = True
        self._waiting -= 1
        if was_head and account.waiters:
            self._push_head(account.waiters[0])
        if not self._waiting:
            self._reset()

    def _push_head(self, waiter: Waiter) -> None:
        heapq.heappush(self._heads, (waiter.start, next(self._order), waiter))

    def _reset(self) -> None:
        """Discard all state once the queue is empty, which keeps the state small."""
        self._account_by_name.clear()
        self._heads.clear()
        self._virtual_time = 0.0
