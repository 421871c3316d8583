"""The duty that brings accepted bundles into force at this node."""

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
    CHANGES_KIND,
    NEWS_KIND,
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
from fireflyward.peers import PeerLink
from fireflyward.settings import Settings

from ._bundle_peers import BundlePeers, seen_state

log = logging.getLogger("fireflyward.bundles")

_TICK_MS = 100
_LOOK_MS = 1_000
_CATCH_UP_MS = 500
_CATCH_UP_STEP_MS = 20
_START_LIMIT_S = 5.0
_UNCONFIRMED = -1


def make_bundle_duty(
    settings: Settings,
    *,
    link: PeerLink,
    clock: Clock,
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
        follower=BundleFollower(poll_ms=settings["bundle_poll_ms"]),
        store=store,
        loader=loader,
        failure_domain=settings["failure_domain"],
        peers=BundlePeers(link, members, settings["peers"]),
        apply=apply,
    )


class BundleDuty:
    """Owns the follower, the shelf and the calls that they lead to.

    ``apply`` is called with each newer bundle. ``refused`` holds why the last one
    that came was not taken.
    """

    def __init__(
        self,
        *,
        link: PeerLink,
        clock: Clock,
        follower: BundleFollower,
        store: BundleStore,
        loader: BundleLoader,
        failure_domain: str,
        peers: BundlePeers,
        apply: Callable[[Bundle], None],
    ) -> None:
        self.shelf = BundleCache()
        self.watch = NodeStatusTracker()
        self.refused: BundleError | None = None
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
        self._ticker: asyncio.Task[None] | None = None
        link.register(NEWS_KIND, BundleNews, self._on_news)
        link.register(CHANGES_KIND, ChangesRequest, self._on_changes_request)
        link.register(WHOLE_KIND, WholeRequest, self._on_whole_request)
        link.register(STATE_KIND, StateRequest, self._on_state_request)

    def __repr__(self) -> str:
        return f"BundleDuty({self._follower!r})"

    async def start(self) -> None:
        """Learn a first bundle if one can be had soon, then keep following.

        A node in a failure domain that is cut off from the platform learns from
        its peers. It cannot know whether something newer was accepted outside:
        it serves by the highest number that any of them has.
        """
        self._ticker = asyncio.create_task(self._tick_always())
        try:
            async with asyncio.timeout(_START_LIMIT_S):
                await self._read_head()
                await asyncio.gather(*self._tasks, return_exceptions=True)
                if self.shelf.state is None:
                    await self._ask_peers()
        except TimeoutError:
            log.warning("bundles: none found yet, neither platform nor peers answer")

    async def stop(self) -> None:
        """End the ticking and every call under way."""
        tasks = [*self._tasks, *([self._ticker] if self._ticker else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def catch_up(self, number: int) -> bool:
        """Wait shortly for ``number``, which a caller saw elsewhere."""
        ends_ms = self._clock.now_ms() + _CATCH_UP_MS
        while self._follower.number < number and self._clock.now_ms() < ends_ms:
            self._do(self._follower.on_caller_number(self._clock.now_ms(), number))
            await self._clock.sleep_ms(_CATCH_UP_STEP_MS)
        return self._follower.number >= number

    def on_member_number(self, name: str, number: int) -> None:
        """Take note of the number that a member's heartbeat carried."""
        if number != self._follower.number:
            self._do(self._follower.on_peer_number(self._clock.now_ms(), name, number))

    def state(self) -> BundleState | None:
        """Return the bundle in force at this node."""
        return self.shelf.state

    async def node_statuses(self) -> tuple[NodeStatus, ...]:
        """Ask every known node which number it serves by."""
        known = {status.name for status in self.watch.statuses()}
        replies = (await self._peers.states()).values()
        seen = [seen_state(self.own_state())]
        seen += [seen_state(reply) for reply in replies if _is_state(reply)]
        silent = known - {node.name for node in seen}
        self._unanswered = set(silent)
        seen += [
            NodeObservation(name, "", 0, is_reached=False) for name in sorted(silent)
        ]
        number = max(self._follower.target_number, *(node.number for node in seen))
        self.watch.observe(self._clock.wall_ms(), number, seen)
        return self.watch.statuses()

    def own_state(self) -> Any:
        """Return what this node tells an operator who asks for its state."""
        confirmed_at_ms = self._follower.confirmed_at_ms
        is_confirmed = confirmed_at_ms is not None
        return StateReply(
            node_name=self._link.node_name,
            failure_domain=self._failure_domain,
            number=self._follower.number,
            head_number=self._follower.head_number,
            confirmed_ms_ago=self._clock.now_ms() - confirmed_at_ms
            if is_confirmed
            else _UNCONFIRMED,
            refused=str(self.refused or ""),
        )

    def apply_state(
        self, state: BundleState, changes: tuple[SignedBundle, ...] = ()
    ) -> None:
        """Serve by a verified state from now on, unless it is not newer."""
        if self.shelf.state is not None and state.number <= self.shelf.state.number:
            return
        self.shelf.put(state, changes)
        self.refused = None
        self._apply(state.bundle)
        names = list(self._peers.addresses())
        now_ms = self._clock.now_ms()
        self._do(self._follower.on_applied(now_ms, state.number, names))

    async def _tick_always(self) -> None:
        look_at_ms = 0
        names: list[str] = []
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= look_at_ms:
                look_at_ms = now_ms + _LOOK_MS
                names = list(self._peers.addresses())
                self._watch_members()
            self._do(self._follower.on_tick(now_ms, names))
            await self._clock.sleep_ms(_TICK_MS)

    def _watch_members(self) -> None:
        """Note since when each member is at its number, behind or unreachable."""
        members = [self._judge_silence(member) for member in self._peers.seen()]
        own = seen_state(self.own_state())
        self.watch.observe(
            self._clock.wall_ms(), self._follower.target_number, [own, *members]
        )
        if members:
            kept = {own.name, *(member.name for member in members)}
            gone = [
                item.name for item in self.watch.statuses() if item.name not in kept
            ]
            self.watch.forget(gone)

    def _judge_silence(self, member: NodeObservation) -> NodeObservation:
        """Believe a call without an answer until membership has judged itself.

        Membership takes some seconds to give a node up; without this a dead node
        would be shown as serving again in between, with a new beginning.
        """
        if not member.is_reached:
            self._unanswered.discard(member.name)
        elif member.name in self._unanswered:
            return replace(member, is_reached=False)
        return member

    def _do(self, actions: list[Any]) -> None:
        for action in actions:
            self._act(action)

    @singledispatchmethod
    def _act(self, action: Any) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_act.register
    def _(self, action: ReadHead) -> None:
        self._spawn(self._read_head())

    @_act.register
    def _(self, action: FetchFromStore) -> None:
        self._spawn(self._fetch_from_store())

    @_act.register
    def _(self, action: FetchFromPeer) -> None:
        self._spawn(self._fetch_from_peer(action.peer))

    @_act.register
    def _(self, action: AnnounceNumber) -> None:
        self._peers.tell(action.peer, action.number)

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
        self._do(self._follower.on_head(now_ms, head.number, head.digest))

    async def _fetch_from_store(self) -> None:
        head = self._head
        if head is None or head.number <= self._follower.number:
            await self._read_head()
            self._do(self._follower.on_fetch_failed(self._clock.now_ms()))
            return
        loaded = await self._loader.load(head, self.shelf.state)
        if isinstance(loaded, BundleError):
            self._follower.on_head_refused(head.number, head.digest)
        self._take_or_fail(loaded)

    async def _fetch_from_peer(self, name: str) -> None:
        state = self.shelf.state
        if state is None:
            whole = await self._peers.whole(name)
            is_whole = isinstance(whole, Whole)
            loaded = (
                await self._loader.verify_snapshot_and_changes(whole)
                if is_whole
                else whole
            )
        else:
            changes = await self._peers.changes(name, state.number)
            is_some = isinstance(changes, tuple)
            loaded = (
                await self._loader.verify_changes(state, changes)
                if is_some
                else changes
            )
        self._take_or_fail(loaded)

    def _take_or_fail(self, loaded: object) -> None:
        if isinstance(loaded, Loaded):
            self.apply_state(loaded.state, loaded.changes)
            return
        if isinstance(loaded, BundleError) and loaded != self.refused:
            self.refused = loaded
            log.error("bundles: refused, %s", loaded)
        self._do(self._follower.on_fetch_failed(self._clock.now_ms()))

    async def _ask_peers(self) -> None:
        """Ask every known peer at once which number it serves by."""
        for reply in (await self._peers.states()).values():
            if _is_state(reply) and reply.number:
                now_ms = self._clock.now_ms()
                self._do(
                    self._follower.on_peer_number(now_ms, reply.node_name, reply.number)
                )
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _on_news(self, sender: str, news: Any) -> None:
        self._peers.heard(sender, (news.host, news.port))
        now_ms = self._clock.now_ms()
        self._do(self._follower.on_peer_number(now_ms, sender, news.number))

    async def _on_changes_request(self, sender: str, request: Any) -> Any:
        return self.shelf.changes_after(request.after)

    async def _on_whole_request(self, sender: str, request: Any) -> Any:
        return self.shelf.page(request.digest, request.after_part)

    async def _on_state_request(self, sender: str, request: Any) -> Any:
        return self.own_state()


def _is_state(reply: object) -> bool:
    return isinstance(reply, StateReply)
