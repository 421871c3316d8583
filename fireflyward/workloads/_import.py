"""Imports and exports of one entry node in the replay."""

import itertools
from collections.abc import Callable
from functools import singledispatchmethod

from fireflyward.placement import (
    PIECE_BLOCKS,
    BudgetAction,
    Dropped,
    Grant,
    Import,
    ImportWatch,
    KeepOffer,
    LinkBudget,
    LinkRates,
    Tier,
    Transfer,
    Urgency,
)

from ._engine import ReplayEngine
from ._events import EventClock
from ._store import ReplayStore

_MAX_PIECES_IN_FLIGHT = 6
_EXPORT_TIME_LIMIT_MS = 5_000.0


class NodeLink:
    """One node's access to one store's link, limited by a ``LinkBudget``."""

    __slots__ = (
        "_budget",
        "_clock",
        "_transfer_ids",
        "_piece_bytes",
        "_callback_by_transfer",
        "store",
    )

    def __init__(self, store: ReplayStore, clock: EventClock, block_bytes: int) -> None:
        self.store = store
        self._clock = clock
        self._piece_bytes = PIECE_BLOCKS * block_bytes
        self._budget = LinkBudget(_MAX_PIECES_IN_FLIGHT * self._piece_bytes)
        self._transfer_ids = itertools.count()
        self._callback_by_transfer: dict[int, Callable[[int], None]] = {}

    @property
    def piece_bytes(self) -> int:
        """Return the bytes of one piece."""
        return self._piece_bytes

    def request(
        self, urgency: Urgency, account: str, on_granted: Callable[[int], None]
    ) -> int:
        """Request a transfer, and return its id.

        ``on_granted`` is called with the id when the transfer is granted.
        """
        transfer_id = next(self._transfer_ids)
        self._callback_by_transfer[transfer_id] = on_granted
        transfer = Transfer(transfer_id, urgency, self._piece_bytes, account)
        self._handle_actions(self._budget.request(transfer))
        return transfer_id

    def end(self, transfer_id: int) -> None:
        """Finish a granted transfer; a second call has no effect."""
        self._handle_actions(self._budget.on_end(transfer_id))

    def cancel(self, transfer_id: int) -> None:
        """Cancel a transfer, whether it was granted or not."""
        if self._callback_by_transfer.pop(transfer_id, None) is None:
            self.end(transfer_id)
        else:
            self._budget.cancel(transfer_id)

    def _handle_actions(self, actions: list[BudgetAction]) -> None:
        for action in actions:
            self._handle(action)

    @singledispatchmethod
    def _handle(self, action: BudgetAction) -> None:
        raise TypeError(f"no handler for {action!r}")

    @_handle.register
    def _(self, action: Grant) -> None:
        transfer_id = action.transfer.transfer_id
        self._callback_by_transfer.pop(transfer_id)(transfer_id)

    @_handle.register
    def _(self, action: Dropped) -> None:
        del self._callback_by_transfer[action.transfer.transfer_id]


class ReplayImport:
    """Executes one ``Import`` plan, and calls ``on_done`` once in every case.

    ``on_done`` gets the time by which the import exceeded the limit of its
    ``ImportWatch``; it is negative for an import within the limit.
    """

    __slots__ = (
        "_arrived_bytes",
        "_first_read_ms",
        "_clock",
        "_on_done",
        "_engine",
        "_is_finished",
        "_keys",
        "_last_arrival_ms",
        "_remaining_pieces",
        "_link",
        "_plan",
        "_rates",
        "_tier",
        "_watch",
        "_transfer_ids",
    )

    def __init__(
        self,
        plan: Import,
        keys: tuple[str, ...],
        tier: Tier,
        *,
        clock: EventClock,
        engine: ReplayEngine,
        link: NodeLink,
        rates: LinkRates,
        queue_ms: float,
        on_done: Callable[[float], None],
    ) -> None:
        self._plan = plan
        self._keys = keys
        self._tier = tier
        self._clock = clock
        self._engine = engine
        self._link = link
        self._rates = rates
        self._on_done = on_done
        self._watch = ImportWatch(clock.exact_ms, plan, queue_ms=queue_ms)
        self._arrived_bytes = 0
        self._first_read_ms = -1.0
        self._last_arrival_ms = 0.0
        self._is_finished = False
        self._transfer_ids: list[int] = []
        self._remaining_pieces = 0

    def start(self, account: str) -> None:
        """Request all pieces from the link, from first to last."""
        pieces = range(
            self._plan.first // PIECE_BLOCKS * PIECE_BLOCKS,
            self._plan.first + self._plan.blocks - PIECE_BLOCKS + 1,
            PIECE_BLOCKS,
        )
        self._engine.touch(self._keys[: self._plan.first])
        self._remaining_pieces = len(pieces)
        self._rates.on_start(
            self._plan.store, self._remaining_pieces * self._link.piece_bytes
        )
        if not self._remaining_pieces:
            self._finish()
        for first in pieces:
            if self._is_finished:
                return
            transfer_id = self._link.request(
                Urgency.IMPORT,
                account,
                lambda transfer_id, first=first: self._read(transfer_id, first),
            )
            self._transfer_ids.append(transfer_id)
        self._check_time_limit()

    def _read(self, transfer_id: int, first: int) -> None:
        if self._first_read_ms < 0:
            self._first_read_ms = self._clock.exact_ms
        key = self._keys[first + PIECE_BLOCKS - 1]
        self._link.store.read(
            key,
            self._on_block,
            lambda is_found: self._on_piece(transfer_id, first, is_found),
        )

    def _on_block(self) -> None:
        self._watch.on_blocks(1)

    def _on_piece(self, transfer_id: int, first: int, is_found: bool) -> None:
        if self._is_finished:
            return
        self._remaining_pieces -= 1
        self._rates.on_end(self._plan.store, self._link.piece_bytes)
        if is_found:
            self._engine.load(self._keys[first : first + PIECE_BLOCKS], first)
            self._arrived_bytes += self._link.piece_bytes
            self._last_arrival_ms = self._clock.exact_ms
        self._link.end(transfer_id)
        if not is_found or not self._remaining_pieces:
            self._finish()

    def _check_time_limit(self) -> None:
        if self._is_finished:
            return
        abort_at_ms = self._watch.abort_at_ms()
        if abort_at_ms <= self._clock.exact_ms:
            self._finish()
        else:
            self._clock.call_at(abort_at_ms, self._check_time_limit)

    def _finish(self) -> None:
        """Cancel the remaining transfers, record the rate, and call ``on_done``."""
        if self._is_finished:
            return
        self._is_finished = True
        for transfer_id in self._transfer_ids:
            self._link.cancel(transfer_id)
        self._rates.on_end(
            self._plan.store, self._remaining_pieces * self._link.piece_bytes
        )
        if self._arrived_bytes:
            self._rates.on_measured(
                self._clock.exact_ms,
                self._plan.store,
                self._tier,
                self._arrived_bytes,
                self._last_arrival_ms - self._first_read_ms,
            )
        elif self._remaining_pieces:
            self._rates.on_no_data(self._clock.exact_ms, self._plan.store)
        self._on_done(self._clock.exact_ms - self._watch.abort_at_ms())


class ReplayExport:
    """Writes one piece to a store when the link grants the transfer.

    The piece is skipped if the engine has evicted it by that time. For some time
    after a store did not answer, nothing is exported to it or imported from it.
    """

    __slots__ = (
        "_clock",
        "_engine",
        "_is_finished",
        "_keys",
        "_link",
        "_offer",
        "_rates",
    )

    def __init__(
        self,
        offer: KeepOffer,
        keys: tuple[str, ...],
        *,
        clock: EventClock,
        engine: ReplayEngine,
        link: NodeLink,
        rates: LinkRates,
    ) -> None:
        self._is_finished = False
        self._rates = rates
        self._offer = offer
        self._keys = keys
        self._clock = clock
        self._engine = engine
        self._link = link

    def start(self) -> None:
        """Request the transfer; it is granted when no import waits for the link."""
        if self._is_store_available():
            self._link.request(Urgency.EXPORT, self._offer.account, self._write)

    def _is_store_available(self) -> bool:
        return self._rates.is_available(self._clock.exact_ms, self._link.store.name)

    def _write(self, transfer_id: int) -> None:
        if not self._is_store_available() or not self._engine.has_cached(self._keys):
            self._clock.call_in(0, lambda: self._end(transfer_id))
            return
        self._link.store.write(self._offer, lambda: self._end(transfer_id))
        self._clock.call_in(
            _EXPORT_TIME_LIMIT_MS, lambda: self._on_time_limit(transfer_id)
        )

    def _end(self, transfer_id: int) -> None:
        self._is_finished = True
        self._link.end(transfer_id)

    def _on_time_limit(self, transfer_id: int) -> None:
        if not self._is_finished:
            self._rates.on_no_data(self._clock.exact_ms, self._link.store.name)
            self._end(transfer_id)
