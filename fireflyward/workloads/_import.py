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

_WINDOW_PIECES = 6
_EXPORT_LIMIT_MS = 5_000.0


class LinkUser:
    """One node's use of one store's link, through a ``LinkBudget``."""

    __slots__ = ("_budget", "_clock", "_numbers", "_piece_bytes", "_work", "store")

    def __init__(self, store: ReplayStore, clock: EventClock, block_bytes: int) -> None:
        self.store = store
        self._clock = clock
        self._piece_bytes = PIECE_BLOCKS * block_bytes
        self._budget = LinkBudget(_WINDOW_PIECES * self._piece_bytes)
        self._numbers = itertools.count()
        self._work: dict[int, Callable[[int], None]] = {}

    @property
    def piece_bytes(self) -> int:
        """Return the bytes of one piece."""
        return self._piece_bytes

    def ask(self, urgency: Urgency, account: str, work: Callable[[int], None]) -> int:
        """Have ``work`` called with the transfer's number once it is granted."""
        number = next(self._numbers)
        self._work[number] = work
        transfer = Transfer(number, urgency, self._piece_bytes, account)
        self._perform(self._budget.request(transfer))
        return number

    def end(self, number: int) -> None:
        """Take the end of a granted transfer; a second end does nothing."""
        self._perform(self._budget.on_end(number))

    def withdraw(self, number: int) -> None:
        """Give up a transfer, granted or not."""
        if self._work.pop(number, None) is None:
            self.end(number)
        else:
            self._budget.cancel(number)

    def _perform(self, actions: list[BudgetAction]) -> None:
        for action in actions:
            self._act(action)

    @singledispatchmethod
    def _act(self, action: BudgetAction) -> None:
        raise TypeError(f"nothing to do for {action!r}")

    @_act.register
    def _(self, action: Grant) -> None:
        number = action.transfer.transfer_id
        self._work.pop(number)(number)

    @_act.register
    def _(self, action: Dropped) -> None:
        del self._work[action.transfer.transfer_id]


class ReplayImport:
    """Carries out one ``Import`` plan and calls ``done`` once, whatever comes.

    ``done`` is told by how much the import outlasted what its watch allows.
    """

    __slots__ = (
        "_arrived_bytes",
        "_began_ms",
        "_clock",
        "_done",
        "_engine",
        "_is_over",
        "_keys",
        "_last_ms",
        "_left",
        "_link",
        "_plan",
        "_rates",
        "_tier",
        "_watch",
        "_numbers",
    )

    def __init__(
        self,
        plan: Import,
        keys: tuple[str, ...],
        tier: Tier,
        *,
        clock: EventClock,
        engine: ReplayEngine,
        link: LinkUser,
        rates: LinkRates,
        queue_ms: float,
        done: Callable[[float], None],
    ) -> None:
        self._plan = plan
        self._keys = keys
        self._tier = tier
        self._clock = clock
        self._engine = engine
        self._link = link
        self._rates = rates
        self._done = done
        self._watch = ImportWatch(clock.exact_ms, plan, queue_ms=queue_ms)
        self._arrived_bytes = 0
        self._began_ms = -1.0
        self._last_ms = 0.0
        self._is_over = False
        self._numbers: list[int] = []
        self._left = 0

    def start(self, account: str) -> None:
        """Ask the link for every piece, first to last."""
        pieces = range(
            self._plan.first // PIECE_BLOCKS * PIECE_BLOCKS,
            self._plan.first + self._plan.blocks - PIECE_BLOCKS + 1,
            PIECE_BLOCKS,
        )
        self._engine.touch(self._keys[: self._plan.first])
        self._left = len(pieces)
        self._rates.on_start(self._plan.store, self._left * self._link.piece_bytes)
        if not self._left:
            self._finish()
        for first in pieces:
            if self._is_over:
                return
            number = self._link.ask(
                Urgency.IMPORT,
                account,
                lambda number, first=first: self._read(number, first),
            )
            self._numbers.append(number)
        self._look_at_the_time()

    def _read(self, number: int, first: int) -> None:
        if self._began_ms < 0:
            self._began_ms = self._clock.exact_ms
        key = self._keys[first + PIECE_BLOCKS - 1]
        self._link.store.read(
            key,
            self._watch_block,
            lambda had: self._arrive(number, first, had),
        )

    def _watch_block(self) -> None:
        self._watch.on_blocks(1)

    def _arrive(self, number: int, first: int, had: bool) -> None:
        if self._is_over:
            return
        self._left -= 1
        self._rates.on_end(self._plan.store, self._link.piece_bytes)
        if had:
            self._engine.load(self._keys[first : first + PIECE_BLOCKS], first)
            self._arrived_bytes += self._link.piece_bytes
            self._last_ms = self._clock.exact_ms
        self._link.end(number)
        if not had or not self._left:
            self._finish()

    def _look_at_the_time(self) -> None:
        if self._is_over:
            return
        abort_at_ms = self._watch.abort_at_ms()
        if abort_at_ms <= self._clock.exact_ms:
            self._finish()
        else:
            self._clock.call_at(abort_at_ms, self._look_at_the_time)

    def _finish(self) -> None:
        """Give back what is not needed, learn the rate, and go on."""
        if self._is_over:
            return
        self._is_over = True
        for number in self._numbers:
            self._link.withdraw(number)
        self._rates.on_end(self._plan.store, self._left * self._link.piece_bytes)
        if self._arrived_bytes:
            self._rates.on_measured(
                self._clock.exact_ms,
                self._plan.store,
                self._tier,
                self._arrived_bytes,
                self._last_ms - self._began_ms,
            )
        elif self._left:
            self._rates.on_no_data(self._clock.exact_ms, self._plan.store)
        self._done(self._clock.exact_ms - self._watch.abort_at_ms())


class ReplayExport:
    """Writes one piece to a store, if the engine still has it by then.

    A store that does not answer is left alone for a while, as for imports.
    """

    __slots__ = ("_clock", "_engine", "_is_over", "_keys", "_link", "_offer", "_rates")

    def __init__(
        self,
        offer: KeepOffer,
        keys: tuple[str, ...],
        *,
        clock: EventClock,
        engine: ReplayEngine,
        link: LinkUser,
        rates: LinkRates,
    ) -> None:
        self._is_over = False
        self._rates = rates
        self._offer = offer
        self._keys = keys
        self._clock = clock
        self._engine = engine
        self._link = link

    def start(self) -> None:
        """Ask the link; exports go when nobody waits."""
        if self._is_open():
            self._link.ask(Urgency.EXPORT, self._offer.account, self._write)

    def _is_open(self) -> bool:
        return self._rates.is_available(self._clock.exact_ms, self._link.store.name)

    def _write(self, number: int) -> None:
        if not self._is_open() or not self._engine.holds(self._keys):
            self._clock.call_in(0, lambda: self._end(number))
            return
        self._link.store.write(self._offer, lambda: self._end(number))
        self._clock.call_in(_EXPORT_LIMIT_MS, lambda: self._expire(number))

    def _end(self, number: int) -> None:
        self._is_over = True
        self._link.end(number)

    def _expire(self, number: int) -> None:
        if not self._is_over:
            self._rates.on_no_data(self._clock.exact_ms, self._link.store.name)
            self._end(number)
