"""The duty that fetches accepted bundles and brings them into force at this node."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from fireflyward.backing import Missing, Objects, Table, Unavailable
from fireflyward.bundles import (
    AnnounceNumber,
    Bundle,
    BundleCache,
    BundleError,
    BundleFollower,
    BundleLoader,
    BundleState,
    BundleStore,
    FetchFromPeer,
    FetchFromStore,
    Head,
    Loaded,
    NodeObservation,
    NodeStatus,
    NodeStatusTracker,
    ReadHead,
    SignedBundle,
    Whole,
    root_people,
)
from fireflyward.bundles.messages import (
    ANNOUNCEMENT_KIND,
    CHANGES_KIND,
    STATE_KIND,
    WHOLE_KIND,
    BundleNews,
    ChangesRequest,
    StateReply,
    StateRequest,
    WholeRequest,
)
from fireflyward.clock import Clock
from fireflyward.membership import Members
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.settings import Settings
from fireflyward.supervision import BackgroundTasks

from ._bundle_peers import BundlePeers, observation_of_state

log = logging.getLogger("fireflyward.bundles")

_TICK_PERIOD_MS = 100
_PEER_CHECK_PERIOD_MS = 1_000
_CATCH_UP_TIMEOUT_MS = 500
_CATCH_UP_POLL_MS = 20
_START_TIMEOUT_S = 5.0
_NEVER_CONFIRMED = -1


def make_bundle_duty(
    settings: Settings,
    *,
    link: PeerLink,
    clock: Clock,
    metrics: Metrics,
    table: Table,
    objects: Objects,
    members: Members,
    apply: Callable[[Bundle], None],
) -> "BundleDuty":
    """Return the duty of a node with these settings."""
    store = BundleStore(table, objects, clock=clock)
    loader = BundleLoader(
        store,
        roots=root_people(dict(settings["trust_roots"])),
        deployment=settings["deployment"],
    )
    return BundleDuty(
        link=link,
        clock=clock,
        metrics=metrics,
        follower=BundleFollower(poll_ms=settings["bundle_poll_ms"]),
        store=store,
        loader=loader,
        failure_domain=settings["failure_domain"],
        peers=BundlePeers(link, members, settings["peers"]),
        apply=apply,
    )


class BundleDuty:
    """Performs the actions of the follower, and answers other nodes from the cache.

    ``apply`` is called with each newer bundle. ``last_error`` says why the last
    fetched bundle was rejected; it is None after a bundle was applied.
    """

    def __init__(
        self,
        *,
        link: PeerLink,
        clock: Clock,
        metrics: Metrics,
        follower: BundleFollower,
        store: BundleStore,
        loader: BundleLoader,
        failure_domain: str,
        peers: BundlePeers,
        apply: Callable[[Bundle], None],
    ) -> None:
        self.cache = BundleCache()
        self.status_tracker = NodeStatusTracker()
        self.last_error: BundleError | None = None
        self._link = link
        self._clock = clock
        self._follower = follower
        self._store = store
        self._loader = loader
        self._failure_domain = failure_domain
        self._peers = peers
        self._apply = apply
        self._head: Head | None = None
        self._unanswered: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._background = BackgroundTasks(clock=clock, metrics=metrics)
        link.register(ANNOUNCEMENT_KIND, BundleNews, self._on_announcement)
        link.register(CHANGES_KIND, ChangesRequest, self._on_changes_request)
        link.register(WHOLE_KIND, WholeRequest, self._on_whole_request)
        link.register(STATE_KIND, StateRequest, self._on_state_request)

    def __repr__(self) -> str:
        return f"BundleDuty({self._follower!r})"

    async def start(self) -> None:
        """Fetch a first bundle, then fetch newer ones periodically.

        The method returns without a bundle if none is found within the timeout. A node
        in a failure domain without a connection to the platform fetches the bundle from
        other nodes. Such a node cannot find out whether a newer bundle was accepted
        outside its domain, so it uses the bundle with the highest number that any of
        these nodes has.
        """
        self._background.start("bundles", self._run_ticks)
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                await self._read_head()
                await asyncio.gather(*self._tasks, return_exceptions=True)
                if self.cache.state is None:
                    await self._query_peers()
        except TimeoutError:
            log.warning("bundles: none found yet, neither platform nor peers answer")

    async def stop(self) -> None:
        """Stop the periodic task and every call in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(
            self._background.cancel(), *self._tasks, return_exceptions=True
        )

    async def catch_up(self, number: int) -> bool:
        """Wait briefly for the bundle ``number``, which another node has served."""
        deadline_ms = self._clock.now_ms() + _CATCH_UP_TIMEOUT_MS
        while self._follower.number < number and self._clock.now_ms() < deadline_ms:
            self._perform_all(
                self._follower.on_caller_number(self._clock.now_ms(), number)
            )
            await self._clock.sleep_ms(_CATCH_UP_POLL_MS)
        return self._follower.number >= number

    def on_member_number(self, name: str, number: int) -> None:
        """Handle the bundle number that a member's heartbeat contained."""
        if number != self._follower.number:
            self._perform_all(
                self._follower.on_peer_number(self._clock.now_ms(), name, number)
            )

    def state(self) -> BundleState | None:
        """Return the bundle in force at this node."""
        return self.cache.state

    async def node_statuses(self) -> tuple[NodeStatus, ...]:
        """Request from every known node the number of its bundle in force."""
        known = {status.name for status in self.status_tracker.statuses()}
        replies = (await self._peers.fetch_states()).values()
        observations = [observation_of_state(self.own_state())]
        observations += [
            observation_of_state(reply) for reply in replies if _is_state_reply(reply)
        ]
        unanswered = known - {node.name for node in observations}
        self._unanswered = set(unanswered)
        observations += [
            NodeObservation(name, "", 0, is_reached=False)
            for name in sorted(unanswered)
        ]
        number = max(
            self._follower.target_number, *(node.number for node in observations)
        )
        self.status_tracker.observe(self._clock.wall_ms(), number, observations)
        return self.status_tracker.statuses()

    def own_state(self) -> Any:
        """Return this node's reply to a state request."""
        confirmed_at_ms = self._follower.confirmed_at_ms
        is_confirmed = confirmed_at_ms is not None
        return StateReply(
            node_name=self._link.node_name,
            failure_domain=self._failure_domain,
            number=self._follower.number,
            head_number=self._follower.head_number,
            confirmed_ms_ago=self._clock.now_ms() - confirmed_at_ms
            if is_confirmed
            else _NEVER_CONFIRMED,
            refused=str(self.last_error or ""),
        )

    def apply_state(
        self, state: BundleState, changes: tuple[SignedBundle, ...] = ()
    ) -> None:
        """Bring a verified state into force, if it is newer than the current one."""
        if self.cache.state is not None and state.number <= self.cache.state.number:
            return
        self.cache.put(state, changes)
        self.last_error = None
        self._apply(state.bundle)
        names = list(self._peers.addresses())
        now_ms = self._clock.now_ms()
        self._perform_all(self._follower.on_applied(now_ms, state.number, names))

    async def _run_ticks(self) -> None:
        next_check_ms = 0
        names: list[str] = []
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= next_check_ms:
                next_check_ms = now_ms + _PEER_CHECK_PERIOD_MS
                names = list(self._peers.addresses())
                self._update_statuses()
            self._perform_all(self._follower.on_tick(now_ms, names))
            await self._clock.sleep_ms(_TICK_PERIOD_MS)

    def _update_statuses(self) -> None:
        """Record since when each member is up to date, behind or unreachable."""
        members = [
            self._apply_unanswered(member) for member in self._peers.observations()
        ]
        own = observation_of_state(self.own_state())
        self.status_tracker.observe(
            self._clock.wall_ms(), self._follower.target_number, [own, *members]
        )
        if members:
            current = {own.name, *(member.name for member in members)}
            removed = [
                item.name
                for item in self.status_tracker.statuses()
                if item.name not in current
            ]
            self.status_tracker.forget(removed)

    def _apply_unanswered(self, member: NodeObservation) -> NodeObservation:
        """Treat a member that did not answer a call as unreachable.

        The membership needs some seconds to detect that a node has crashed. Without
        this rule, the status would meanwhile show the crashed node as serving again,
        and then as unreachable since a later time. The rule applies until the
        membership itself reports the member as unreachable.
        """
        if not member.is_reached:
            self._unanswered.discard(member.name)
        elif member.name in self._unanswered:
            return replace(member, is_reached=False)
        return member

    def _perform_all(self, actions: list[Any]) -> None:
        for action in actions:
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: Any) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_perform.register
    def _(self, action: ReadHead) -> None:
        self._spawn(self._read_head())

    @_perform.register
    def _(self, action: FetchFromStore) -> None:
        self._spawn(self._fetch_from_store())

    @_perform.register
    def _(self, action: FetchFromPeer) -> None:
        self._spawn(self._fetch_from_peer(action.peer))

    @_perform.register
    def _(self, action: AnnounceNumber) -> None:
        self._peers.announce_number(action.peer, action.number)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_head(self) -> None:
        current = await self._store.head()
        if isinstance(current, Missing | Unavailable):
            return
        head = current[0]
        if self._head is None or head.number >= self._head.number:
            self._head = head
        now_ms = self._clock.now_ms()
        self._perform_all(self._follower.on_head(now_ms, head.number, head.digest))

    async def _fetch_from_store(self) -> None:
        head = self._head
        if head is None or head.number <= self._follower.number:
            await self._read_head()
            self._perform_all(self._follower.on_fetch_failed(self._clock.now_ms()))
            return
        loaded = await self._loader.load(head, self.cache.state)
        if isinstance(loaded, BundleError):
            self._follower.on_head_refused(head.number, head.digest)
        self._apply_or_fail(loaded)

    async def _fetch_from_peer(self, name: str) -> None:
        state = self.cache.state
        if state is None:
            snapshot = await self._peers.fetch_snapshot(name)
            has_snapshot = isinstance(snapshot, Whole)
            loaded = (
                await self._loader.verify_snapshot_and_changes(snapshot)
                if has_snapshot
                else snapshot
            )
        else:
            changes = await self._peers.fetch_changes(name, state.number)
            has_changes = isinstance(changes, tuple)
            loaded = (
                await self._loader.verify_changes(state, changes)
                if has_changes
                else changes
            )
        self._apply_or_fail(loaded)

    def _apply_or_fail(self, loaded: object) -> None:
        if isinstance(loaded, Loaded):
            self.apply_state(loaded.state, loaded.changes)
            return
        if isinstance(loaded, BundleError) and loaded != self.last_error:
            self.last_error = loaded
            log.error("bundles: refused, %s", loaded)
        self._perform_all(self._follower.on_fetch_failed(self._clock.now_ms()))

    async def _query_peers(self) -> None:
        """Request the bundle number of every known node, all at once."""
        for reply in (await self._peers.fetch_states()).values():
            if _is_state_reply(reply) and reply.number:
                now_ms = self._clock.now_ms()
                self._perform_all(
                    self._follower.on_peer_number(now_ms, reply.node_name, reply.number)
                )
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _on_announcement(self, sender: str, announcement: Any) -> None:
        self._peers.record_sender(sender, (announcement.host, announcement.port))
        now_ms = self._clock.now_ms()
        self._perform_all(
            self._follower.on_peer_number(now_ms, sender, announcement.number)
        )

    async def _on_changes_request(self, sender: str, request: Any) -> Any:
        return self.cache.changes_after(request.after)

    async def _on_whole_request(self, sender: str, request: Any) -> Any:
        return self.cache.page(request.digest, request.after_part)

    async def _on_state_request(self, sender: str, request: Any) -> Any:
        return self.own_state()


def _is_state_reply(reply: object) -> bool:
    return isinstance(reply, StateReply)
