"""The task that drives rollouts while this node holds the lease."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from functools import singledispatchmethod

from fireflyward.backing import Table
from fireflyward.clock import Clock
from fireflyward.leases import LeaseTask
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.upstreams import Broken, OrderedEngine

from ._health import HealthWatch
from ._messages import (
    Action,
    DriverStarted,
    DriverStopped,
    HealthUpdated,
    Message,
    OrderAnswered,
    PlanUpdated,
    ReadRow,
    ReadState,
    RowAnswered,
    SendOrder,
    StateAnswered,
    StepReached,
    TakeNewFencing,
    Tick,
    WriteAnswered,
    WriteRow,
)
from ._plan import Plan
from ._rollout import Rollout
from ._row import ROLLOUT_KEY, encode_row
from ._steps import RolloutStep

log = logging.getLogger("fireflyward.rollout")

LEASE_NAME = "rollout"
_TICK_MS = 250
_NEW_FENCING_RETRY_MS = 2_000
_HAND_OVER_POLL_MS = 100
_HAND_OVER_TIMEOUT_MS = 10_000
_NO_LONGER_UPSTREAM = Broken(False, "no longer an upstream")
_NOT_SENT = Broken(False, "the lease expired before the order was sent")


class RolloutTask:
    """Drives ``Rollout`` with messages while it holds the lease ``rollout``.

    ``plan`` returns the plan of the bundle in force on this node, or None.
    ``engine_by_name`` is looked up for every call. Calls to replicas run
    concurrently, calls to the table one after the other.
    """

    def __init__(
        self,
        rollout: Rollout,
        *,
        clock: Clock,
        table: Table,
        lease: LeaseTask,
        engine_by_name: Mapping[str, OrderedEngine],
        plan: Callable[[], Plan | None],
        watch: HealthWatch,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._rollout = rollout
        self._clock = clock
        self._table = table
        self._lease = lease
        self._engine_by_name = engine_by_name
        self._plan = plan
        self._watch = watch
        self._observe = observe
        self._driving_fencing = 0
        # The number under which a step failed, until the lease has another one.
        self._failed_fencing = 0
        self._new_fencing_due_ms = 0
        self._calls: set[asyncio.Task[None]] = set()
        self._inbox: list[Message] = []
        self._is_processing = False
        self._call_error: BaseException | None = None

    def __repr__(self) -> str:
        return f"RolloutTask({self._rollout!r})"

    async def run(self) -> None:
        """Drive rollouts whenever this node holds the lease, until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(_TICK_MS)

    async def step(self) -> None:
        """Run one step; raise an exception that a call raised since the last step.

        After an exception it is unknown what was done, so driving begins anew.
        """
        try:
            await self._step()
        except Exception:
            self._begin_anew()
            raise

    async def _step(self) -> None:
        if self._call_error:
            error, self._call_error = self._call_error, None
            raise error
        self._update_driving()
        plan = self._plan()
        if plan is not None:
            await self._process(PlanUpdated(plan))
        if self._failed_fencing:
            self._request_new_fencing()
        elif self._driving_fencing:
            await self._process(HealthUpdated(self._watch.health_by_version))
            await self._process(Tick())

    def _begin_anew(self) -> None:
        """Stop driving until the lease has a new fencing number.

        Orders with the present number may still arrive.
        """
        self._inbox.clear()
        self._rollout.decide(self._clock.now_ms(), DriverStopped())
        self._failed_fencing = self._driving_fencing
        self._new_fencing_due_ms = self._clock.now_ms()

    def _request_new_fencing(self) -> None:
        """Request a new number, again after a while if it has not been assigned."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._new_fencing_due_ms:
            self._new_fencing_due_ms = now_ms + _NEW_FENCING_RETRY_MS
            self._lease.request_new_fencing()

    async def hand_over(self) -> bool:
        """Wait for the calls in flight, then hand the lease to the next driver.

        A driver with an order that may still be in flight lets its lease expire
        instead: otherwise that order could arrive after the orders of the next driver.
        """
        limit_ms = self._clock.now_ms() + _HAND_OVER_TIMEOUT_MS
        while self._clock.now_ms() < limit_ms:
            if not self._calls and self._rollout.has_no_orders_in_flight(
                self._clock.now_ms()
            ):
                self._driving_fencing = 0
                await self._process(DriverStopped())
                return await self._lease.hand_over()
            await self._clock.sleep_ms(_HAND_OVER_POLL_MS)
        return False

    async def close(self) -> None:
        """Cancel the calls that are in flight."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    def _update_driving(self) -> None:
        """Start or stop driving by the claim of the lease, not by its notifications."""
        claim = self._lease.claim()
        fencing = claim.fencing if claim else 0
        if fencing == self._driving_fencing:
            return
        if self._driving_fencing:
            self._inbox.append(DriverStopped())
        if claim:
            self._inbox.append(DriverStarted(claim))
        self._driving_fencing = fencing
        self._failed_fencing = 0

    def _holds_lease(self) -> bool:
        """Return whether the claim is still valid by the clock, just before a send."""
        claim = self._lease.claim()
        return claim is not None and claim.fencing == self._driving_fencing

    async def _process(self, message: Message) -> None:
        """Process messages one at a time, in the order of their arrival."""
        self._inbox.append(message)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._inbox:
                await self._process_one(self._inbox.pop(0))
        finally:
            self._is_processing = False

    async def _process_one(self, message: Message) -> None:
        now_ms = self._clock.now_ms()
        for action in self._rollout.decide(now_ms, message):
            answer = await self._perform(action)
            if answer is not None:
                self._inbox.append(answer)

    @singledispatchmethod
    async def _perform(self, action: Action) -> Message | None:
        raise TypeError(f"no handler for {action!r}")

    @_perform.register
    async def _(self, action: ReadRow) -> Message | None:
        return RowAnswered(await self._table.get(ROLLOUT_KEY))

    @_perform.register
    async def _(self, action: WriteRow) -> Message | None:
        if not self._holds_lease():
            return DriverStopped()
        self._observe(action.step)
        result = await self._table.commit(
            expected={ROLLOUT_KEY: action.expected},
            puts={ROLLOUT_KEY: encode_row(action.row)},
        )
        return WriteAnswered(result)

    @_perform.register
    async def _(self, action: ReadState) -> Message | None:
        self._start(self._read_state(action.replica))

    @_perform.register
    async def _(self, action: SendOrder) -> Message | None:
        self._observe(RolloutStep.ORDER_SENT)
        self._start(self._send_order(action))

    @_perform.register
    async def _(self, action: TakeNewFencing) -> Message | None:
        log.info(
            "rollout: an order with number %d may still arrive, a new number is taken",
            self._driving_fencing,
        )
        self._lease.request_new_fencing()

    @_perform.register
    async def _(self, action: StepReached) -> Message | None:
        if action.step is RolloutStep.BEGUN:
            self._watch.reset()
        self._observe(action.step)
        log.info("rollout: %s %s", action.step.value, action.detail)

    async def _read_state(self, replica: str) -> None:
        engine = self._engine_by_name.get(replica)
        result = await engine.state() if engine else _NO_LONGER_UPSTREAM
        await self._process(StateAnswered(replica, result))

    async def _send_order(self, action: SendOrder) -> None:
        engine = self._engine_by_name.get(action.replica)
        if engine is None:
            result = _NO_LONGER_UPSTREAM
        elif not self._holds_lease() or action.order.fencing != self._driving_fencing:
            result = _NOT_SENT
        else:
            result = await engine.send_order(action.order)
        await self._process(
            OrderAnswered(action.replica, action.order.order_id, result)
        )

    def _start(self, call: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._on_call_done)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        """Store the exception of a call; it would otherwise be lost with the task."""
        self._calls.discard(task)
        if not task.cancelled() and task.exception():
            self._call_error = task.exception()
