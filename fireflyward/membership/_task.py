"""The task that executes the decisions of membership."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from fireflyward.backing import VmList, Vms
from fireflyward.clock import Clock
from fireflyward.decoding import whole_number
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.supervision import BackgroundTasks

from ._members import Address, Members, MemberState
from ._membership import Membership
from ._membership_structs import Packet as PacketStruct
from ._messages import (
    Action,
    Alarm,
    BundleChanged,
    IncarnationRaised,
    LeaveDone,
    LeaveStarted,
    LinkOpened,
    Message,
    Received,
    SeedsFound,
    Send,
    SetIncarnation,
    Tick,
)
from ._probing import Timings
from ._wire import from_struct, to_struct

log = logging.getLogger("fireflyward.membership")

KIND = "membership"
_SEED_PERIOD_MS = 10_000
_METRICS_PERIOD_MS = 5_000
_MAX_PORT = 65_535


class MembershipTask:
    """Sends and receives the membership datagrams of one node.

    ``seeds`` come from settings; the platform's list of VMs, if there is one, adds
    to them. The task waits for neither: a node starts alone and joins the others
    as soon as it reaches one of them.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        clock: Clock,
        link: PeerLink,
        metrics: Metrics,
        bundle_number: Callable[[], int],
        on_bundle_number: Callable[[str, int], None] = lambda name, number: None,
        seeds: tuple[Address, ...] = (),
        vms: Vms | None = None,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._link = link
        self._metrics = metrics
        self._bundle_number = bundle_number
        self._on_number = on_bundle_number
        self._seeds = seeds
        self._vms = vms
        self._tasks = BackgroundTasks(clock=clock, metrics=metrics)
        self._is_started = False
        link.register(KIND, PacketStruct, self._on_datagram)
        link.on_incarnation_raised = lambda number: self._decide(
            IncarnationRaised(number)
        )

    @property
    def members(self) -> Members:
        return self._membership.members

    def start(self) -> None:
        """Start; call this once the peer link is open."""
        self._decide(LinkOpened(self._link.address))
        self._decide(SeedsFound(self._seeds))
        self._is_started = True
        self._tasks.start("membership", self._tick)
        self._tasks.start("seeds", self._poll_seeds)
        self._tasks.start("membership metrics", self._update_metrics)

    def add_seeds(self, addresses: tuple[Address, ...]) -> None:
        """Look for nodes at these addresses, besides the seeds of the settings."""
        self._decide(SeedsFound(tuple(sorted({*self._seeds, *addresses}))))

    def leave(self) -> None:
        """Announce that a planned stop of this node has begun."""
        self._decide(LeaveStarted())

    async def stop(self) -> None:
        """Announce that this node exits now, and stop."""
        await self._tasks.cancel()
        if self._is_started:
            self._decide(LeaveDone())
        self._is_started = False

    async def _tick(self) -> None:
        while True:
            if self._bundle_number() != self.members.own.bundle_number:
                self._decide(BundleChanged(self._bundle_number()))
            self._decide(Tick())
            await self._clock.sleep_ms(Timings().tick_ms)

    async def _poll_seeds(self) -> None:
        while self._vms is not None:
            found = await self._vms.list()
            if isinstance(found, VmList):
                listed = [_address(entry.address) for entry in found.entries]
                self.add_seeds(tuple(address for address in listed if address))
            await self._clock.sleep_ms(_SEED_PERIOD_MS)

    async def _on_datagram(self, sender: str, struct: Any) -> None:
        packet = from_struct(struct)
        if packet is None or packet.sender.name != sender:
            log.warning("membership: datagram from %s refused", sender)
            return
        self._decide(Received(packet))
        self._on_number(sender, packet.sender.bundle_number)

    def _decide(self, message: Message) -> None:
        for action in self._membership.decide(self._clock.now_ms(), message):
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: Action) -> None:
        raise AssertionError(f"no handler for {action!r}")

    @_perform.register
    def _(self, action: Send) -> None:
        if not self._link.send(action.address, KIND, to_struct(action.packet)):
            self._metrics.count("membership_unsent_total")

    @_perform.register
    def _(self, action: Alarm) -> None:
        self._metrics.count("membership_alarms_total", kind=action.kind.value)
        log.warning("membership: %s %s", action.kind.value, action.name)

    @_perform.register
    def _(self, action: SetIncarnation) -> None:
        self._link.incarnation = action.incarnation

    async def _update_metrics(self) -> None:
        while True:
            states = [member.state for member in self.members.known()]
            for state in MemberState:
                name = f"members_{state.name.lower()}"
                self._metrics.gauge(name, states.count(state))
            await self._clock.sleep_ms(_METRICS_PERIOD_MS)


def _address(text: str) -> Address | None:
    """Return the address that an entry names, None if it names none.

    >>> _address("10.0.0.1:80"), _address("10.0.0.1:70000")
    (('10.0.0.1', 80), None)
    """
    host, _, port_text = text.rpartition(":")
    port = whole_number(port_text) or 0
    return (host, port) if host and 0 < port <= _MAX_PORT else None
