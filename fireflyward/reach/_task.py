"""The task that looks into a failure domain whose replica was silent."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator
from typing import Any

from fireflyward.clock import Clock, within_ms
from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._check import DomainCheck
from ._reach_structs import SilenceNews

log = logging.getLogger("fireflyward.reach")

_SILENCE = "silence"
# A connection takes some ms; longer than this and the request that brought the matter
# up would not have been on time either.
_CONNECT_MS = 150
_AGAIN_AFTER_MS = 300


class ReachTask:
    """Tries connections into a domain and marks it as out of reach while all fail.

    What one node meets others are about to meet as well: they are told, and each
    looks for itself, as its own links may be sound.

    Responses from a domain that is out of reach may come after seconds or never, and
    the kernel notices silent connections after one to three seconds. Connections on
    which repeatable requests wait are closed at once, so that these go elsewhere while
    there is time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        peers: Callable[[], list[tuple[str, int]]],
        seed: int | None = None,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._peers = peers
        self._check = DomainCheck(seed=seed)
        self._link: PeerLink | None = None
        self._look_task: asyncio.Task[None] | None = None
        self._suspected: set[str] = set()
        self._heard_of: set[str] = set()
        self._is_due = asyncio.Event()
        self._awaited_by_domain: dict[str, set[HttpConnection]] = {}

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the looks that are under way, to be cancelled at a stop."""
        return [self._look_task] if self._look_task is not None else []

    def use(self, link: PeerLink) -> None:
        """Tell and hear of silent replicas over a link from now on."""
        self._link = link
        link.register(_SILENCE, SilenceNews, self._on_news)

    def on_silent(self, replica: ReplicaState) -> None:
        """Hear that a connection to a replica got no answer at all."""
        self._look_into(replica.entry.failure_domain)

    @contextlib.contextmanager
    def awaiting(
        self, replica: ReplicaState, connection: HttpConnection
    ) -> Iterator[None]:
        """Have a connection closed if its domain is lost while a request waits on it.

        Only for requests that may be repeated: another replica gets them then.
        """
        domain = replica.entry.failure_domain
        awaited = self._awaited_by_domain.setdefault(domain, set())
        awaited.add(connection)
        try:
            yield
        finally:
            awaited.discard(connection)

    async def _on_news(self, sender: str, news: Any) -> None:
        self._heard_of.add(news.failure_domain)
        self._look_into(news.failure_domain)

    def _look_into(self, domain: str) -> None:
        """Have a domain looked into, unless it is already."""
        if domain in self._suspected or domain in self._directory.unreachable:
            return
        self._suspected.add(domain)
        self._is_due.set()
        if self._look_task is None:
            self._look_task = asyncio.create_task(self._look())

    async def _look(self) -> None:
        """Look until no domain is out of reach and none is suspected.

        With the first one that is lost all others are looked into, before requests
        leave it: a node that is cut off would find one domain after the other
        silent, and what left the first of them had better not go to the next.
        """
        has_looked_into_all = False
        due = set(self._suspected)
        try:
            while due:
                self._is_due.clear()
                lost = await self._look_at(due)
                self._tell_of(lost)
                if lost and not has_looked_into_all:
                    has_looked_into_all = True
                    rest = self._domains() - self._directory.unreachable
                    lost |= await self._look_at(rest)
                self._close_awaited(lost)
                if self._directory.unreachable and not self._suspected:
                    pause = self._is_due.wait()
                    await within_ms(self._clock, _AGAIN_AFTER_MS, pause)
                due = self._suspected | self._directory.unreachable
        finally:
            self._look_task = None
            self._suspected.clear()
            self._heard_of.clear()
            for domain in self._directory.unreachable:
                self._directory.set_unreachable(domain, is_unreachable=False)

    async def _look_at(self, domains: set[str]) -> set[str]:
        """Try connections into domains; return those that are lost by now."""
        looks = sorted(domains)
        lost = await asyncio.gather(*map(self._is_lost, looks))
        self._suspected -= domains
        before = self._directory.unreachable
        for domain, is_unreachable in zip(looks, lost, strict=True):
            self._directory.set_unreachable(domain, is_unreachable=is_unreachable)
            if is_unreachable and domain not in before:
                log.warning("reach: failure domain %s is silent", domain)
            elif domain in before and not is_unreachable:
                log.info("reach: failure domain %s answers again", domain)
        return set(self._directory.unreachable - before)

    def _tell_of(self, lost: set[str]) -> None:
        """Tell the others of domains that this node found lost by itself.

        They are told of domains alone: of one dark replica each would else hear
        from each, and try connections as often.
        """
        for domain in lost - self._heard_of:
            if self._link is not None:
                news = SilenceNews(failure_domain=domain)
                self._link.send_all(self._peers(), _SILENCE, news)

    def _domains(self) -> set[str]:
        return {state.entry.failure_domain for state in self._directory.all()}

    async def _is_lost(self, domain: str) -> bool:
        listed = (
            state
            for state in self._directory.all()
            if state.entry.failure_domain == domain
        )
        tried = self._check.to_try(listed)
        reached = await asyncio.gather(*map(self._reaches, tried))
        return self._check.is_unreachable(len(tried), reached=sum(reached))

    def _close_awaited(self, lost: set[str]) -> None:
        for domain in lost:
            awaited = tuple(self._awaited_by_domain.get(domain, ()))
            if awaited:
                log.info("reach: %d requests to %s go elsewhere", len(awaited), domain)
            for connection in awaited:
                connection.close()

    async def _reaches(self, replica: ReplicaState) -> bool:
        connection = await self._pool.take(
            replica.entry.address, connect_ms=_CONNECT_MS, fresh=True
        )
        if isinstance(connection, NotConnected):
            # Where nothing listens any more the host has answered all the same.
            return connection.is_refused
        self._pool.give_back(connection)
        return True
