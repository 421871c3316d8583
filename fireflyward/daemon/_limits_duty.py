"""The duty that divides the accounts' limits among the nodes of a failure domain."""

from functools import singledispatchmethod
from typing import Any

from fireflyward.clock import Clock
from fireflyward.limits import (
    AccountShares,
    AdmissionGate,
    Demand,
    SendDemand,
    SendTally,
    SharesAction,
    Tally,
)
from fireflyward.membership import Members, owner_of
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.supervision import BackgroundTasks

_DEMAND_KIND = "demand"
_TALLY_KIND = "tally"
_TICK_PERIOD_MS = 250


class LimitsDuty:
    """Sends and receives the datagrams; ``AccountShares`` decides what to send."""

    def __init__(
        self,
        *,
        link: PeerLink,
        clock: Clock,
        members: Members,
        gate: AdmissionGate,
        metrics: Metrics,
    ) -> None:
        own = members.own
        self.shares = AccountShares(own.name, owner_of=self._owner_of)
        gate.share_limits(self.shares)
        self._gate = gate
        self._link = link
        self._clock = clock
        self._members = members
        self._live = members.live_in(own.failure_domain)
        self._background = BackgroundTasks(clock=clock, metrics=metrics)
        link.register(_DEMAND_KIND, Demand, self._on_demand)
        link.register(_TALLY_KIND, Tally, self._on_tally)

    async def start(self) -> None:
        """Start the periodic task."""
        self._background.start("account limits", self._run_ticks)

    async def stop(self) -> None:
        """Stop the periodic task."""
        await self._background.cancel()

    async def _run_ticks(self) -> None:
        while True:
            await self._clock.sleep_ms(_TICK_PERIOD_MS)
            self._live = self._members.live_in(self._members.own.failure_domain)
            self.shares.set_nodes(len(self._live))
            in_flight = self._gate.admission.in_flight
            self._perform_all(self.shares.tick(self._clock.now_ms(), in_flight))

    def _owner_of(self, account: str) -> str:
        owner = owner_of(f"limit/{account}", self._live)
        return owner.name if owner else self._members.own.name

    def _perform_all(self, actions: list[SharesAction]) -> None:
        for action in actions:
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: SharesAction) -> None:
        raise TypeError(f"cannot perform {action!r}")

    @_perform.register
    def _(self, action: SendDemand) -> None:
        self._send(action.peer, _DEMAND_KIND, action.demand)

    @_perform.register
    def _(self, action: SendTally) -> None:
        self._send(action.peer, _TALLY_KIND, action.tally)

    def _send(self, peer: str, kind: str, message: Any) -> None:
        member = self._members.get(peer)
        if member is not None:
            self._link.send(member.address, kind, message)

    async def _on_demand(self, sender: str, message: Any) -> None:
        now_ms = self._clock.now_ms()
        self._perform_all(self.shares.on_demand(now_ms, sender, message))

    async def _on_tally(self, sender: str, message: Any) -> None:
        self.shares.on_tally(self._clock.now_ms(), message)
