"""Sends that wait at replicas whose weights may be replaced meanwhile."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from fireflyward.clock import Clock

from ._messages import Withdrawn
from ._weights import WeightVersions

log = logging.getLogger("fireflyward.forwarding")

T = TypeVar("T")

_Weights = tuple[str, int]
_PERIOD_MS = 100
# How often the sends on replaced weights are logged while there are any.
_LOG_INTERVAL_MS = 1_000


class WaitingSends:
    """Prompts that were sent and have not begun, by their replicas' weights; no I/O.

    >>> sends, withdrawn = WaitingSends(), []
    >>> sends.add("m", 1, lambda: withdrawn.append("q"))
    >>> sends.withdraw_older("m", 2), withdrawn
    (1, ['q'])
    """

    __slots__ = ("_withdraw_by_weights",)

    def __init__(self) -> None:
        self._withdraw_by_weights: dict[_Weights, set[Callable[[], None]]] = {}

    def add(self, model: str, version: int, withdraw: Callable[[], None]) -> None:
        """Add a send; ``withdraw`` ends it."""
        self._withdraw_by_weights.setdefault((model, version), set()).add(withdraw)

    def discard(self, model: str, version: int, withdraw: Callable[[], None]) -> None:
        """Remove a send that has begun or ended; may be called again."""
        sends = self._withdraw_by_weights.get((model, version))
        if sends is not None:
            sends.discard(withdraw)
            if not sends:
                del self._withdraw_by_weights[model, version]

    def withdraw_older(self, model: str, min_version: int) -> int:
        """Withdraw the sends on weights before ``min_version``; return their number."""
        older = [
            weights
            for weights in self._withdraw_by_weights
            if weights[0] == model and weights[1] < min_version
        ]
        sends = [send for key in older for send in self._withdraw_by_weights.pop(key)]
        for withdraw in sends:
            withdraw()
        return len(sends)


class WithdrawableSend:
    """One send, which may be withdrawn until a usable response to it begins.

    ``version`` is None for a request to a service without weights.
    """

    __slots__ = ("_is_withdrawn", "_model", "_sends", "_task", "_version")

    def __init__(self, sends: WaitingSends, model: str, version: int | None) -> None:
        self._sends = sends
        self._model = model
        self._version = version
        self._task: asyncio.Task[Any] | None = None
        self._is_withdrawn = False

    async def run(self, send: Coroutine[Any, Any, T]) -> T | Withdrawn:
        """Return the result of ``send``, or ``Withdrawn`` if it was cancelled."""
        if self._version is None:
            return await send
        task = self._task = asyncio.current_task()
        self._sends.add(self._model, self._version, self._withdraw)
        try:
            return await send
        except asyncio.CancelledError:
            # The task may have been cancelled for another reason too.
            if self._is_withdrawn and task is not None and not task.uncancel():
                return Withdrawn()
            raise
        finally:
            self.on_begun()

    def on_begun(self) -> None:
        """Keep the send from now on: its response begins, or it has ended."""
        if self._version is not None:
            self._sends.discard(self._model, self._version, self._withdraw)

    def _withdraw(self) -> None:
        if self._task is not None and not self._is_withdrawn:
            self._is_withdrawn = True
            self._task.cancel()


class WithdrawalTask:
    """Withdraws the sends that still wait when their weights may no longer serve.

    A replica may work off its queue more slowly than any margin allows for. The task
    only runs while a version is being replaced. It polls, since timers do not count the
    time for which the VM is suspended.
    """

    __slots__ = (
        "_clock",
        "_is_replaced",
        "_logged_ms",
        "_sends",
        "_weights",
        "withdrawn",
    )

    def __init__(
        self, *, clock: Clock, weights: WeightVersions, sends: WaitingSends
    ) -> None:
        self._clock = clock
        self._weights = weights
        self._sends = sends
        self._is_replaced = asyncio.Event()
        weights.history.on_record = self._is_replaced.set
        self._logged_ms = 0
        self.withdrawn = 0

    async def run(self) -> None:
        """Check the sends while a version is being replaced, until cancelled."""
        while True:
            await self._is_replaced.wait()
            while self.check():
                await self._clock.sleep_ms(_PERIOD_MS)
            # A check that fails leaves the event set, so that the next run repeats it.
            self._is_replaced.clear()

    def check(self) -> bool:
        """Withdraw what may not begin any more; return whether to check again."""
        now_ms = self._clock.now_ms()
        # The age of a version may be unknown, and then no older weights may serve.
        for model in self._weights.targets():
            version = self._weights.min_waiting_version(now_ms, model)
            count = self._sends.withdraw_older(model, version)
            if count:
                self.withdrawn += count
                log.warning(
                    "forwarding: %d requests withdrawn that waited on weights of %s "
                    "before version %d",
                    count,
                    model,
                    version,
                )
        if now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self._log_older_sends()
        return bool(self._weights.history.models_being_replaced())

    def _log_older_sends(self) -> None:
        for model, count, highest_ms in self._weights.older_sends.take():
            log.info(
                "forwarding: %d requests sent on weights of %s that were replaced "
                "%d ms before at most",
                count,
                model,
                highest_ms,
            )
