"""The task that looks at the platform's list and passes on what it says."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from fireflyward.backing import VmList, Vms
from fireflyward.clock import Clock
from fireflyward.membership import Members, owners_of
from fireflyward.peers import PeerLink

from ._leaving_structs import LeavingNews
from ._signs import LeavingUpstreams

log = logging.getLogger("fireflyward.leaving")

_KIND = "leaving"
_OFTEN_MS = 1_000
_SELDOM_MS = 10_000
_LOOKERS = 2
_NAMES_IN_DATAGRAM = 20


class LeavingTask:
    """Has a few nodes of each failure domain look often, and the others seldom.

    The list is one service for all: 350 nodes looking each second would be 350
    reads a second. Two of a domain look each second and tell the rest at once.
    ``on_leaving`` is called with each upstream that leaves by a new sign.
    """

    def __init__(
        self,
        *,
        upstreams: LeavingUpstreams,
        clock: Clock,
        link: PeerLink,
        members: Members,
        vms: Vms,
        on_leaving: Callable[[str], None],
    ) -> None:
        self._signs = upstreams
        self._clock = clock
        self._link = link
        self._members = members
        self._vms = vms
        self._on_leaving = on_leaving
        self._looking: asyncio.Task[None] | None = None
        link.register(_KIND, LeavingNews, self._on_news)

    def start(self) -> None:
        """Begin to look."""
        self._looking = asyncio.create_task(self._look_always())

    async def stop(self) -> None:
        """End the looking."""
        if self._looking:
            self._looking.cancel()
            await asyncio.gather(self._looking, return_exceptions=True)

    async def _look_always(self) -> None:
        looked_ms = self._clock.now_ms() - _SELDOM_MS
        while True:
            now_ms = self._clock.now_ms()
            if self._looks_often() or now_ms - looked_ms >= _SELDOM_MS:
                looked_ms = now_ms
                await self._look()
            await self._clock.sleep_ms(_OFTEN_MS)

    async def _look(self) -> None:
        listed = await self._vms.list()
        if not isinstance(listed, VmList):
            return
        names = self._signs.on_list(self._clock.now_ms(), listed)
        self._leave(names, "the list")
        for first in range(0, len(names), _NAMES_IN_DATAGRAM):
            self._tell(names[first : first + _NAMES_IN_DATAGRAM])

    def _tell(self, names: tuple[str, ...]) -> None:
        own = self._members.own
        for member in self._members.live_in(own.failure_domain):
            if member.name != own.name:
                self._link.send(member.address, _KIND, LeavingNews(names=list(names)))

    def _looks_often(self) -> bool:
        own = self._members.own
        near = self._members.live_in(own.failure_domain)
        lookers = owners_of("list of VMs", near, _LOOKERS)
        return any(member.name == own.name for member in lookers)

    async def _on_news(self, sender: str, news: Any) -> None:
        names = self._signs.on_told(self._clock.now_ms(), news.names)
        self._leave(names, sender)

    def _leave(self, names: tuple[str, ...], source: str) -> None:
        for name in names:
            log.info("leaving: %s gets no new work, by %s", name, source)
            self._on_leaving(name)
