"""The task that looks into a failure domain whose replica was silent."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator
from typing import Any

from fireflyward.clock import Clock
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

    What one node meets, those of its failure domain are about to meet as well: they
    are told, and each looks for itself, as its own links may be sound.

    Responses from a domain that is out of reach may come after seconds or never, and
    the kernel notices silent connections after one to three seconds. Requests that may
    be repeated are cut loose at once, so that they go elsewhere while there is time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        neighbours: Callable[[], list[tuple[str, int]]],
        seed: int | None = None,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._neighbours = neighbours
        self._seed = seed
        self._link: PeerLink | None = None
        self._task_by_domain: dict[str, asyncio.Task[None]] = {}
        self._awaited_by_domain: dict[str, set[HttpConnection]] = {}

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the looks that are under way, to be cancelled at a stop."""
        return list(self._task_by_domain.values())

    def use(self, link: PeerLink) -> None:
        """Tell and hear of silent replicas over a link from now on."""
        self._link = link
        link.register(_SILENCE, SilenceNews, self._on_news)

    def on_silent(self, replica: ReplicaState) -> None:
        """Hear that a connection to a replica got no answer at all."""
        domain = replica.entry.failure_domain
        if self._look_into(domain) and self._link is not None:
            news = SilenceNews(failure_domain=domain)
            self._link.send_all(self._neighbours(), _SILENCE, news)

    @contextlib.contextmanager
    def awaiting(
        self, replica: ReplicaState, connection: HttpConnection
    ) -> Iterator[None]:
        """Close a connection, on which a repeatable request waits, if it is in vain."""
        domain = replica.entry.failure_domain
        awaited = self._awaited_by_domain.setdefault(domain, set())
        awaited.add(connection)
        try:
            yield
        finally:
            awaited.discard(connection)

    async def _on_news(self, sender: str, news: Any) -> None:
        self._look_into(news.failure_domain)

    def _look_into(self, domain: str) -> bool:
        """Begin to look into a domain; return False if that goes on already."""
        if domain in self._task_by_domain:
            return False
        task = asyncio.create_task(self._look(domain))
        self._task_by_domain[domain] = task
        task.add_done_callback(lambda _: self._task_by_domain.pop(domain, None))
        return True

    async def _look(self, domain: str) -> None:
        check = DomainCheck(seed=self._seed)
        try:
            await self._try(check, domain)
            if not check.is_lost:
                return
            log.warning("reach: failure domain %s is silent", domain)
            self._directory.set_unreachable(domain, is_lost=True)
            self._cut_loose(domain)
            while check.is_lost:
                await self._clock.sleep_ms(_AGAIN_AFTER_MS)
                await self._try(check, domain)
            log.info("reach: failure domain %s answers again", domain)
        finally:
            self._directory.set_unreachable(domain, is_lost=False)

    def _cut_loose(self, domain: str) -> None:
        awaited = tuple(self._awaited_by_domain.get(domain, ()))
        if awaited:
            log.info("reach: %d requests to %s go elsewhere", len(awaited), domain)
        for connection in awaited:
            connection.close()

    async def _try(self, check: DomainCheck, domain: str) -> None:
        listed = (
            state
            for state in self._directory.all()
            if state.entry.failure_domain == domain
        )
        tried = check.to_try(listed)
        reached = await asyncio.gather(*map(self._reaches, tried))
        check.on_tried(len(tried), reached=sum(reached))

    async def _reaches(self, replica: ReplicaState) -> bool:
        connection = await self._pool.take(
            replica.entry.address, connect_ms=_CONNECT_MS, fresh=True
        )
        if isinstance(connection, NotConnected):
            # Where nothing listens any more the host has answered all the same.
            return connection.is_refused
        self._pool.give_back(connection)
        return True
