"""The task that drives rollouts while it holds the lease."""

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
    Began,
    Ended,
    HealthSeen,
    Message,
    OrderAnswered,
    PlanSeen,
    Reached,
    ReadRow,
    ReadState,
    RowSeen,
    SendOrder,
    StateSeen,
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
_QUIET_PAUSE_MS = 100
_QUIET_LIMIT_MS = 10_000
_GONE = Broken(False, "no longer an upstream")
_NOT_SENT = Broken(False, "the lease lapsed before the order went out")


class RolloutTask:
    """Owns the lease ``rollout`` and gives ``Rollout`` its messages.

    ``plan`` returns the plan of the bundle in force here, or None;
    ``engine_by_name`` is read anew for every order. Calls to replicas go on beside
    each other, calls to the table one after the other.
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
        self._driving = 0
        self._calls: set[asyncio.Task[None]] = set()
        self._inbox: list[Message] = []
        self._taking = False
        self._broken: BaseException | None = None

    def __repr__(self) -> str:
        return f"RolloutTask({self._rollout!r})"

    async def run(self) -> None:
        """Drive whenever the lease is held, until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(_TICK_MS)

    async def step(self) -> None:
        """Do what is due now; raise what a call raised since the last step."""
        if self._broken:
            raise self._broken
        self._follow_lease()
        plan = self._plan()
        if plan is not None:
            await self._take(PlanSeen(plan))
        if self._driving:
            await self._take(HealthSeen(self._watch.health_by_version))
            await self._take(Tick())

    async def hand_over(self) -> bool:
        """End what is in flight, then give the lease to the next driver.

        A driver whose order may still be on its way lets its lease lapse instead:
        a successor that acted at once could be overtaken by it.
        """
        limit_ms = self._clock.now_ms() + _QUIET_LIMIT_MS
        while self._clock.now_ms() < limit_ms:
            if not self._calls and self._rollout.is_quiet(self._clock.now_ms()):
                self._driving = 0
                await self._take(Ended())
                return await self._lease.hand_over()
            await self._clock.sleep_ms(_QUIET_PAUSE_MS)
        return False

    async def close(self) -> None:
        """Drop the calls that are under way."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    def _follow_lease(self) -> None:
        """Begin or end with the lease, by its claim and not by its news."""
        claim = self._lease.claim()
        fencing = claim.fencing if claim else 0
        if fencing == self._driving:
            return
        if self._driving:
            self._inbox.append(Ended())
        if claim:
            self._inbox.append(Began(claim))
        self._driving = fencing

    def _may_act(self) -> bool:
        """Ask the holder's own clock, right before something goes out."""
        claim = self._lease.claim()
        return claim is not None and claim.fencing == self._driving

    async def _take(self, message: Message) -> None:
        """Decide on messages in the order in which they came, one at a time."""
        self._inbox.append(message)
        if self._taking:
            return
        self._taking = True
        try:
            while self._inbox:
                await self._take_one(self._inbox.pop(0))
        finally:
            self._taking = False

    async def _take_one(self, message: Message) -> None:
        now_ms = self._clock.now_ms()
        for action in self._rollout.decide(now_ms, message):
            answer = await self._perform(action)
            if answer is not None:
                self._inbox.append(answer)

    @singledispatchmethod
    async def _perform(self, action: Action) -> Message | None:
        raise TypeError(f"no way to do {action!r}")

    @_perform.register
    async def _(self, action: ReadRow) -> Message | None:
        return RowSeen(await self._table.get(ROLLOUT_KEY))

    @_perform.register
    async def _(self, action: WriteRow) -> Message | None:
        if not self._may_act():
            return Ended()
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
    async def _(self, action: Reached) -> Message | None:
        if action.step is RolloutStep.BEGUN:
            self._watch.restart()
        self._observe(action.step)
        log.info("rollout: %s %s", action.step.value, action.detail)

    async def _read_state(self, replica: str) -> None:
        engine = self._engine_by_name.get(replica)
        result = await engine.state() if engine else _GONE
        await self._take(StateSeen(replica, result))

    async def _send_order(self, action: SendOrder) -> None:
        engine = self._engine_by_name.get(action.replica)
        if engine is None:
            result = _GONE
        elif not self._may_act() or action.order.fencing != self._driving:
            result = _NOT_SENT
        else:
            result = await engine.send_order(action.order)
        await self._take(OrderAnswered(action.replica, action.order.order_id, result))

    def _start(self, call: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._call_ended)

    def _call_ended(self, task: asyncio.Task[None]) -> None:
        """Keep what a call raised; it would be lost with the task otherwise."""
        self._calls.discard(task)
        if not task.cancelled() and task.exception():
            self._broken = task.exception()
