"""Who may use a store's link next."""

import enum
from collections import deque
from dataclasses import dataclass

_HALF = 2
_MAX_WAITING_EXPORTS = 1_024


class Urgency(enum.IntEnum):
    """Why blocks are moved, first things first."""

    IMPORT = 0
    PREFETCH = 1
    EXPORT = 2


@dataclass(frozen=True, slots=True)
class Transfer:
    """A piece of work for one link, small enough to be waited out."""

    transfer_id: int
    urgency: Urgency
    size_bytes: int
    account: str


@dataclass(frozen=True, slots=True)
class Grant:
    """The transfer may begin."""

    transfer: Transfer


@dataclass(frozen=True, slots=True)
class Dropped:
    """The transfer will never begin; it was a kindness and the queue is full."""

    transfer: Transfer


BudgetAction = Grant | Dropped


class LinkBudget:
    """Orders one node's transfers on one store's link, without I/O.

    At most ``limit_bytes`` are in flight. Imports of waiting callers are granted
    before prefetches, and exports only while nothing else waits. Prefetches and
    exports together fill at most half of the limit, so that an import that comes
    meanwhile begins at once. Accounts take turns within an urgency, so that one
    large account's imports do not stand before everybody else's. A transfer larger
    than its limit is granted alone.
    """

    __slots__ = (
        "_background_bytes",
        "_in_flight",
        "_in_flight_bytes",
        "_limit_bytes",
        "_waiting",
    )

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._in_flight: dict[int, Transfer] = {}
        self._in_flight_bytes = 0
        self._background_bytes = 0
        self._waiting: dict[Urgency, dict[str, deque[Transfer]]] = {
            urgency: {} for urgency in Urgency
        }

    def __repr__(self) -> str:
        waiting = sum(self.waiting(urgency) for urgency in Urgency)
        return f"LinkBudget({self._in_flight_bytes} in flight, {waiting} waiting)"

    @property
    def in_flight_bytes(self) -> int:
        """Return the bytes of granted transfers that have not ended."""
        return self._in_flight_bytes

    def waiting(self, urgency: Urgency) -> int:
        """Return how many transfers of an urgency wait."""
        return sum(len(queue) for queue in self._waiting[urgency].values())

    def request(self, transfer: Transfer) -> list[BudgetAction]:
        """Queue a transfer; return what may begin or is dropped now."""
        if (
            transfer.urgency is Urgency.EXPORT
            and self.waiting(Urgency.EXPORT) >= _MAX_WAITING_EXPORTS
        ):
            return [Dropped(transfer)]
        queues = self._waiting[transfer.urgency]
        queues.setdefault(transfer.account, deque()).append(transfer)
        return self._grant()

    def on_end(self, transfer_id: int) -> list[BudgetAction]:
        """Take the end of a granted transfer, whatever came of it."""
        transfer = self._in_flight.pop(transfer_id, None)
        if transfer is None:
            return []
        self._in_flight_bytes -= transfer.size_bytes
        if transfer.urgency is not Urgency.IMPORT:
            self._background_bytes -= transfer.size_bytes
        return self._grant()

    def cancel(self, transfer_id: int) -> None:
        """Forget a waiting transfer that nobody wants any more."""
        for queues in self._waiting.values():
            for account, queue in list(queues.items()):
                kept = deque(t for t in queue if t.transfer_id != transfer_id)
                if kept:
                    queues[account] = kept
                else:
                    del queues[account]

    def _grant(self) -> list[BudgetAction]:
        grants: list[BudgetAction] = []
        while (transfer := self._next()) is not None:
            self._start(transfer)
            grants.append(Grant(transfer))
        return grants

    def _next(self) -> Transfer | None:
        """Take the next transfer that fits; less urgent ones never overtake."""
        for urgency in Urgency:
            queues = self._waiting[urgency]
            if not queues:
                continue
            account = next(iter(queues))
            if not self._fits(queues[account][0]):
                return None
            queue = queues.pop(account)
            transfer = queue.popleft()
            if queue:
                queues[account] = queue
            return transfer
        return None

    def _fits(self, transfer: Transfer) -> bool:
        if transfer.urgency is Urgency.IMPORT:
            used, limit = self._in_flight_bytes, self._limit_bytes
        else:
            used, limit = self._background_bytes, self._limit_bytes // _HALF
            if self._in_flight_bytes + transfer.size_bytes > self._limit_bytes:
                return not self._in_flight
        return not used or used + transfer.size_bytes <= limit

    def _start(self, transfer: Transfer) -> None:
        self._in_flight[transfer.transfer_id] = transfer
        self._in_flight_bytes += transfer.size_bytes
        if transfer.urgency is not Urgency.IMPORT:
            self._background_bytes += transfer.size_bytes
