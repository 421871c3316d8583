"""Decides which transfer may use the link of a store next."""

import enum
from collections import deque
from dataclasses import dataclass

_BACKGROUND_DIVISOR = 2
_MAX_WAITING_EXPORTS = 1_024


class Urgency(enum.IntEnum):
    """The purpose of a transfer, most urgent first."""

    IMPORT = 0
    PREFETCH = 1
    EXPORT = 2


@dataclass(frozen=True, slots=True)
class Transfer:
    """A transfer on one link, small enough that a more urgent one can wait for it."""

    transfer_id: int
    urgency: Urgency
    size_bytes: int
    account: str


@dataclass(frozen=True, slots=True)
class Grant:
    """The transfer may start."""

    transfer: Transfer


@dataclass(frozen=True, slots=True)
class Dropped:
    """The export will never start, because the queue of exports is full."""

    transfer: Transfer


BudgetAction = Grant | Dropped


class LinkBudget:
    """Schedules one node's transfers on the link of one store; does no I/O.

    At most ``limit_bytes`` are in flight. Imports for waiting callers are granted
    before prefetches, and exports only if nothing else waits. Prefetches and exports
    together use at most half of the limit, so that a new import can start at once.
    Transfers of the same urgency are granted to the accounts in turn, so that the
    imports of one large account do not delay those of all others. A transfer larger
    than the limit is granted when no other is in flight.
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
        """Return the bytes of granted transfers that have not finished."""
        return self._in_flight_bytes

    def waiting(self, urgency: Urgency) -> int:
        """Return the number of waiting transfers of an urgency."""
        return sum(len(queue) for queue in self._waiting[urgency].values())

    def request(self, transfer: Transfer) -> list[BudgetAction]:
        """Queue a transfer; return the transfers that may start or are dropped now."""
        if (
            transfer.urgency is Urgency.EXPORT
            and self.waiting(Urgency.EXPORT) >= _MAX_WAITING_EXPORTS
        ):
            return [Dropped(transfer)]
        queues = self._waiting[transfer.urgency]
        queues.setdefault(transfer.account, deque()).append(transfer)
        return self._grant()

    def on_end(self, transfer_id: int) -> list[BudgetAction]:
        """Record that a granted transfer has finished or failed."""
        transfer = self._in_flight.pop(transfer_id, None)
        if transfer is None:
            return []
        self._in_flight_bytes -= transfer.size_bytes
        if transfer.urgency is not Urgency.IMPORT:
            self._background_bytes -= transfer.size_bytes
        return self._grant()

    def cancel(self, transfer_id: int) -> None:
        """Remove a waiting transfer that is no longer needed."""
        for queues in self._waiting.values():
            for account, queue in list(queues.items()):
                remaining = deque(t for t in queue if t.transfer_id != transfer_id)
                if remaining:
                    queues[account] = remaining
                else:
                    del queues[account]

    def _grant(self) -> list[BudgetAction]:
        grants: list[BudgetAction] = []
        while (transfer := self._next()) is not None:
            self._begin_transfer(transfer)
            grants.append(Grant(transfer))
        return grants

    def _next(self) -> Transfer | None:
        """Remove and return the next transfer that fits.

        While a transfer waits for room, no less urgent one is granted.
        """
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
            used, limit = (
                self._background_bytes,
                self._limit_bytes // _BACKGROUND_DIVISOR,
            )
            if self._in_flight_bytes + transfer.size_bytes > self._limit_bytes:
                return not self._in_flight
        return not used or used + transfer.size_bytes <= limit

    def _begin_transfer(self, transfer: Transfer) -> None:
        self._in_flight[transfer.transfer_id] = transfer
        self._in_flight_bytes += transfer.size_bytes
        if transfer.urgency is not Urgency.IMPORT:
            self._background_bytes += transfer.size_bytes
