"""The task that polls the platform's VM list and announces leaving upstreams."""

import logging
from collections.abc import Callable
from typing import Any

from fireflyward.backing import VmList, Vms
from fireflyward.clock import Clock
from fireflyward.membership import Members, owners_of
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.supervision import BackgroundTasks

from ._leaving_structs import LeavingNews
from ._upstreams import LeavingUpstreams

log = logging.getLogger("fireflyward.leaving")

_KIND = "leaving"
_FREQUENT_POLL_MS = 1_000
_RARE_POLL_MS = 10_000
_FREQUENT_POLLERS = 2
_MAX_NAMES_PER_DATAGRAM = 20


class LeavingTask:
    """Polls the VM list, frequently on two nodes of each domain, rarely on the others.

    All nodes read the list from the same service: if 350 nodes polled it each second,
    it would get 350 reads a second. Two nodes of a domain poll it each second and
    announce changes to the others at once. ``on_leaving`` is called with each upstream
    that starts to leave.
    """

    def __init__(
        self,
        *,
        upstreams: LeavingUpstreams,
        clock: Clock,
        metrics: Metrics,
        link: PeerLink,
        members: Members,
        vms: Vms,
        on_leaving: Callable[[str], None],
    ) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._link = link
        self._members = members
        self._vms = vms
        self._on_leaving = on_leaving
        self._tasks = BackgroundTasks(clock=clock, metrics=metrics)
        link.register(_KIND, LeavingNews, self._on_announcement)

    def start(self) -> None:
        """Start polling."""
        self._tasks.start("list of VMs", self._poll_forever)

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.cancel()

    async def _poll_forever(self) -> None:
        last_poll_ms = self._clock.now_ms() - _RARE_POLL_MS
        while True:
            now_ms = self._clock.now_ms()
            if self._polls_frequently() or now_ms - last_poll_ms >= _RARE_POLL_MS:
                last_poll_ms = now_ms
                await self._poll()
            await self._clock.sleep_ms(_FREQUENT_POLL_MS)

    async def _poll(self) -> None:
        listed = await self._vms.list()
        if not isinstance(listed, VmList):
            return
        names = self._upstreams.on_list(self._clock.now_ms(), listed)
        self._report_leaving(names, "the list")
        for first in range(0, len(names), _MAX_NAMES_PER_DATAGRAM):
            self._announce(names[first : first + _MAX_NAMES_PER_DATAGRAM])

    def _announce(self, names: tuple[str, ...]) -> None:
        own = self._members.own
        for member in self._members.live_in(own.failure_domain):
            if member.name != own.name:
                self._link.send(member.address, _KIND, LeavingNews(names=list(names)))

    def _polls_frequently(self) -> bool:
        own = self._members.own
        neighbours = self._members.live_in(own.failure_domain)
        pollers = owners_of("list of VMs", neighbours, _FREQUENT_POLLERS)
        return any(member.name == own.name for member in pollers)

    async def _on_announcement(self, sender: str, message: Any) -> None:
        names = self._upstreams.on_peer_report(self._clock.now_ms(), message.names)
        self._report_leaving(names, sender)

    def _report_leaving(self, names: tuple[str, ...], source: str) -> None:
        for name in names:
            log.info("leaving: %s gets no new work, by %s", name, source)
            self._on_leaving(name)
