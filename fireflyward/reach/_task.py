"""The task that probes a failure domain after one of its replicas was silent."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from fireflyward.clock import Clock, within_ms
from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._check import DomainCheck, DomainReach
from ._reach_structs import SilenceNews

log = logging.getLogger("fireflyward.reach")

_SILENCE = "silence"
# A connection takes some ms. If it takes longer than this, then the request that caused
# the probe would have been late too.
_CONNECT_TIMEOUT_MS = 150
_RETRY_MS = 300


class ReachTask:
    """Probes a failure domain and marks it while all direct probes fail.

    If another node can connect to its replicas, the domain is marked as relayed, else
    as unreachable.

    Other nodes will probably have the same problem soon. The node therefore announces
    the domain to them, and each node probes it itself, as its own links may work.

    Responses from an unreachable domain may arrive after seconds or never, and the
    kernel detects silent connections after about three seconds. Connections on which
    idempotent requests wait are closed at once, so that there is time to send these
    requests to another replica.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        peers: Callable[[], list[tuple[str, int]]],
        can_relay: Callable[[ReplicaState], Awaitable[bool]] | None = None,
        is_relayed: Callable[[ReplicaState], bool] = lambda replica: False,
        seed: int | None = None,
    ) -> None:
        """``can_relay`` returns whether another node connects to a replica.

        ``is_relayed`` returns whether only other nodes are known to do so.
        """
        self._clock = clock
        self._can_relay = can_relay
        self._is_relayed = is_relayed
        self._pool = pool
        self._directory = directory
        self._peers = peers
        self._check = DomainCheck(seed=seed)
        self._link: PeerLink | None = None
        self._probe_task: asyncio.Task[None] | None = None
        self._suspected_domains: set[str] = set()
        self._announced_by_others: set[str] = set()
        self._has_suspects = asyncio.Event()
        self._isolated_since_ms: int | None = None
        self._awaited_by_domain: dict[str, dict[HttpConnection, int]] = {}

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the running probe task, to be cancelled when the node stops."""
        return [self._probe_task] if self._probe_task is not None else []

    def use(self, link: PeerLink) -> None:
        """Send and receive announcements of silent domains over a link from now on."""
        self._link = link
        link.register(_SILENCE, SilenceNews, self._on_announcement, expires=True)

    def on_silent(self, replica: ReplicaState) -> None:
        """Record that a connection to a replica got no answer at all."""
        self._schedule_probe(replica.entry.failure_domain)

    @contextlib.contextmanager
    def awaiting(
        self, replica: ReplicaState, connection: HttpConnection
    ) -> Iterator[None]:
        """Close a connection if its domain becomes unreachable during the request.

        This is only for idempotent requests, which are then sent to another replica.
        """
        domain = replica.entry.failure_domain
        awaited = self._awaited_by_domain.setdefault(domain, {})
        awaited[connection] = connection.received_bytes
        try:
            yield
        finally:
            del awaited[connection]

    async def _on_announcement(self, sender: str, message: Any) -> None:
        self._announced_by_others.add(message.failure_domain)
        self._schedule_probe(message.failure_domain)

    def _schedule_probe(self, domain: str) -> None:
        """Start to probe a domain, unless it is already probed."""
        if domain in self._suspected_domains or domain in self._cut_domains:
            return
        self._suspected_domains.add(domain)
        self._has_suspects.set()
        if self._probe_task is None:
            self._probe_task = asyncio.create_task(self._probe())

    async def _probe(self) -> None:
        """Probe until no domain is unreachable and none is suspected.

        When the first domain becomes unreachable, all others are probed before its
        requests are sent elsewhere. Otherwise a node that is cut off itself would find
        one domain after the other silent, and would send the requests of the first one
        to another unreachable domain.
        """
        has_probed_all = False
        pending = set(self._suspected_domains)
        try:
            while pending:
                self._has_suspects.clear()
                newly_unreachable = await self._probe_domains(pending)
                self._announce(newly_unreachable)
                if newly_unreachable and not has_probed_all:
                    has_probed_all = True
                    other_domains = self._domains() - self._cut_domains
                    newly_unreachable |= await self._probe_domains(other_domains)
                self._close_awaited_connections(newly_unreachable)
                await self._probe_relays()
                if self._cut_domains and not self._suspected_domains:
                    wait = self._has_suspects.wait()
                    await within_ms(self._clock, _RETRY_MS, wait)
                pending = self._suspected_domains | self._cut_domains
        finally:
            self._probe_task = None
            self._suspected_domains.clear()
            self._announced_by_others.clear()
            for domain in self._cut_domains:
                self._directory.set_unreachable(domain, is_unreachable=False)
            self._update_isolation()

    @property
    def _cut_domains(self) -> frozenset[str]:
        """Return the domains to whose replicas this node cannot connect directly."""
        return self._directory.unreachable | self._directory.relayed

    async def _probe_domains(self, domains: set[str]) -> set[str]:
        """Probe domains directly; return those that have become unreachable."""
        names = sorted(domains)
        self._note_received(domains)
        results = await asyncio.gather(*map(self._probe_domain, names))
        self._suspected_domains -= domains
        cut_before = self._cut_domains
        for domain, reach in zip(names, results, strict=True):
            self._set_reach(domain, reach)
        self._update_isolation()
        return set(self._cut_domains - cut_before)

    async def _probe_relays(self) -> None:
        """Find out to which of the cut domains other nodes connect.

        This follows the direct probes, since it takes longer: requests leave a domain
        at once, and come back if other nodes connect to it.
        """
        if self._can_relay is None:
            return
        names = sorted(self._cut_domains)
        results = await asyncio.gather(*map(self._is_relayed_by_others, names))
        for domain, is_relayed in zip(names, results, strict=True):
            if is_relayed:
                self._set_reach(domain, DomainReach.RELAYED)
            elif domain in self._directory.relayed:
                self._set_reach(domain, DomainReach.NONE)

    async def _is_relayed_by_others(self, domain: str) -> bool:
        probed = self._choose_replicas(domain)
        return any(await asyncio.gather(*map(self._can_relay, probed)))

    def _set_reach(self, domain: str, reach: DomainReach) -> None:
        directory = self._directory
        was_cut, was_relayed = domain in self._cut_domains, domain in directory.relayed
        directory.set_unreachable(
            domain,
            is_unreachable=reach is DomainReach.NONE,
            is_relayed=reach is DomainReach.RELAYED,
        )
        if reach is DomainReach.DIRECT:
            if was_cut:
                log.info("reach: failure domain %s answers again", domain)
                self._close_idle(domain, is_cut=False)
            return
        if not was_cut:
            log.warning("reach: failure domain %s is silent", domain)
            self._close_idle(domain, is_cut=True)
        if reach is DomainReach.RELAYED and not was_relayed:
            log.warning("reach: other nodes connect to failure domain %s", domain)

    def _close_idle(self, domain: str, *, is_cut: bool) -> None:
        """Close the idle connections of a path that is not used any more."""
        for state in self._directory.all():
            if state.entry.failure_domain == domain:
                if is_cut:
                    self._pool.close_idle_direct(state.entry.address)
                else:
                    self._pool.close_idle_relayed(state.entry.address)

    @property
    def isolated_ms(self) -> int:
        """Return for how long no failure domain has been reachable, 0 if one is."""
        if self._isolated_since_ms is None:
            return 0
        return self._clock.now_ms() - self._isolated_since_ms

    def _update_isolation(self) -> None:
        """Record and log whether this node reaches none of the listed replicas."""
        domains = self._domains()
        is_isolated = bool(domains) and domains <= self._cut_domains
        if is_isolated and self._isolated_since_ms is None:
            self._isolated_since_ms = self._clock.now_ms()
            names = ", ".join(sorted(domains))
            log.warning("reach: no replica can be reached from this node: %s", names)
        elif not is_isolated and self._isolated_since_ms is not None:
            log.info("reach: replicas can be reached again, %d ms", self.isolated_ms)
            self._isolated_since_ms = None

    def _announce(self, newly_unreachable: set[str]) -> None:
        """Announce unreachable domains that no other node has announced to this one.

        Single silent replicas are not announced: otherwise every node would receive an
        announcement from every other node, and would open as many probe connections.
        """
        for domain in newly_unreachable - self._announced_by_others:
            if self._link is not None:
                message = SilenceNews(failure_domain=domain)
                self._link.send_all(self._peers(), _SILENCE, message)

    def _domains(self) -> set[str]:
        return {state.entry.failure_domain for state in self._directory.all()}

    async def _probe_domain(self, domain: str) -> DomainReach:
        probed = self._choose_replicas(domain)
        results = await asyncio.gather(*map(self._can_connect, probed))
        count, reached = len(probed), sum(results)
        if domain in self._directory.relayed:
            is_whole = self._check.is_whole(count, reached=reached)
            return DomainReach.DIRECT if is_whole else DomainReach.RELAYED
        is_unreachable = self._check.is_unreachable(count, reached=reached)
        return DomainReach.NONE if is_unreachable else DomainReach.DIRECT

    def _choose_replicas(self, domain: str) -> list[ReplicaState]:
        listed = (
            state
            for state in self._directory.all()
            if state.entry.failure_domain == domain
        )
        return self._check.choose_replicas(listed, self._is_relayed)

    def _note_received(self, domains: set[str]) -> None:
        """Note how much each waiting request has received, before a probe."""
        for domain in domains:
            awaited = self._awaited_by_domain.get(domain, {})
            for connection in awaited:
                awaited[connection] = connection.received_bytes

    def _close_awaited_connections(self, newly_cut: set[str]) -> None:
        """Close connections that wait for a silent domain.

        A connection that received something during the probe has survived the cut.
        """
        for domain in newly_cut:
            awaited = self._awaited_by_domain.get(domain, {})
            silent = [
                connection
                for connection, received_bytes in awaited.items()
                if connection.received_bytes == received_bytes and not connection.relay
            ]
            if silent:
                log.info(
                    "reach: %d requests to %s are retried elsewhere",
                    len(silent),
                    domain,
                )
            for connection in silent:
                connection.close()

    async def _can_connect(self, replica: ReplicaState) -> bool:
        connection = await self._pool.acquire(
            replica.entry.address, connect_ms=_CONNECT_TIMEOUT_MS, fresh=True
        )
        if isinstance(connection, NotConnected):
            # The host of a refused connection has answered, so the domain is reachable.
            return connection.is_refused
        replica.has_connected = True
        self._pool.release(connection)
        return True
