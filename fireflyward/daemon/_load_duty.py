"""The duty that collects the replicas' loads, by polling and from other nodes."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from typing import Any

from fireflyward.bundles import Bundle
from fireflyward.clock import Clock
from fireflyward.membership import Members
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.routing import (
    LoadEntry,
    LoadNews,
    LoadSharing,
    Poll,
    Router,
    Send,
    SharingAction,
    WatchedReplica,
)
from fireflyward.supervision import BackgroundTasks
from fireflyward.upstreams import Broken, Engine, LoadReport

log = logging.getLogger("fireflyward.routing")

_LOADS_KIND = "loads"
_TICK_PERIOD_MS = 50
_TICKS_PER_PEER_UPDATE = 10
_ENGINE = "engine"


class LoadDuty:
    """Polls replicas and exchanges load updates as ``LoadSharing`` decides.

    ``without_loading_models`` removes from a load report the models that are about
    to be reloaded on that replica, so that routing does not choose it for them.
    """

    def __init__(
        self,
        *,
        link: PeerLink,
        clock: Clock,
        metrics: Metrics,
        router: Router,
        members: Members,
        engine_by_name: Mapping[str, Engine],
        without_loading_models: Callable[[str, LoadReport], LoadReport],
    ) -> None:
        own = members.own
        self.sharing = LoadSharing(own.name, own.failure_domain)
        self._link = link
        self._clock = clock
        self._router = router
        self._members = members
        self._engine_by_name = engine_by_name
        self._without_loading_models = without_loading_models
        self._background = BackgroundTasks(clock=clock, metrics=metrics)
        self._polls: dict[str, asyncio.Task[None]] = {}
        link.register(_LOADS_KIND, LoadNews, self._on_load_update)

    def set_bundle(self, bundle: Bundle) -> None:
        """Collect the loads of the engines of a bundle."""
        self.sharing.set_replicas(
            WatchedReplica(
                name,
                upstream.failure_domain,
                {model: bundle.models[model].version for model in upstream.models},
            )
            for name, upstream in bundle.upstreams.items()
            if upstream.kind == _ENGINE
        )

    async def start(self) -> None:
        """Poll every watched replica once, then start the periodic task."""
        await asyncio.gather(*(self._poll(name) for name in self.sharing.watched))
        self._background.start("loads", self._run_ticks)

    async def stop(self) -> None:
        """Stop the periodic task and the polls in flight."""
        polls = list(self._polls.values())
        for poll in polls:
            poll.cancel()
        await asyncio.gather(self._background.cancel(), *polls, return_exceptions=True)

    async def _run_ticks(self) -> None:
        while True:
            self._update_peers()
            for _ in range(_TICKS_PER_PEER_UPDATE):
                await self._clock.sleep_ms(_TICK_PERIOD_MS)
                now_ms = self._clock.now_ms()
                self._share_leaving(now_ms)
                self._perform_all(
                    [Poll(name) for name in self._router.pop_outdated_replicas()]
                )
                self._perform_all(self.sharing.tick(now_ms))

    def _update_peers(self) -> None:
        live = self._members.live_in(self._members.own.failure_domain)
        self.sharing.set_peers(member.name for member in live)
        self._router.set_report_period(self.sharing.period_ms())

    def _share_leaving(self, now_ms: int) -> None:
        for name in self.sharing.watched:
            candidate = self._router.candidate(name)
            if candidate is not None and candidate.leaving:
                self._perform_all(self.sharing.on_leaving(now_ms, name))

    def _perform_all(self, actions: list[SharingAction]) -> None:
        for action in actions:
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: SharingAction) -> None:
        raise TypeError(f"cannot perform {action!r}")

    @_perform.register
    def _(self, action: Poll) -> None:
        """Start a poll, unless the previous one still waits for its answer."""
        if action.name in self._polls:
            return
        task = asyncio.create_task(self._poll(action.name))
        self._polls[action.name] = task
        task.add_done_callback(lambda _: self._polls.pop(action.name, None))

    @_perform.register
    def _(self, action: Send) -> None:
        for name in action.peers:
            member = self._members.get(name)
            if member is not None:
                self._link.send(member.address, _LOADS_KIND, action.update)

    async def _poll(self, name: str) -> None:
        engine = self._engine_by_name.get(name)
        if engine is None:
            return
        result = await engine.load()
        now_ms = self._clock.now_ms()
        report = None if isinstance(result, Broken) else result
        entry, actions = self.sharing.on_polled(now_ms, name, report)
        if entry:
            self._apply_entry(now_ms, entry)
        self._perform_all(actions)

    async def _on_load_update(self, sender: str, update: Any) -> None:
        now_ms = self._clock.now_ms()
        entries, actions = self.sharing.on_load_update(now_ms, sender, update)
        for entry in entries:
            self._apply_entry(now_ms, entry)
        self._perform_all(actions)

    def _apply_entry(self, now_ms: int, entry: LoadEntry) -> None:
        if entry.report is None:
            self._router.on_failure(now_ms, entry.name)
        else:
            report = self._without_loading_models(entry.name, entry.report)
            self._router.on_report(entry.measured_ms, entry.name, report)
