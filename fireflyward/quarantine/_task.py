"""The task that finds out which requests end replicas, and holds them back."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from fireflyward.clock import Clock, within_ms
from fireflyward.feeds import TableUpdate
from fireflyward.http1 import ConnectionPool, NotConnected
from fireflyward.peers import Address, PeerLink
from fireflyward.platform import StoreClient
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._cuts import Cuts
from ._messages import Free, Held, Trial
from ._news import SuspectNews
from ._rows import SuspectRows
from ._suspects import Suspects

log = logging.getLogger("fireflyward.quarantine")

# A replica is a few ms away; one lost packet takes 200 ms to be sent again.
_CONNECT_MS = 350
# Rows that could not be written are tried again after this long, or sooner once the
# table shows what another node wrote there.
_RETRY_MS = 500
# How often suspects of long ago are looked for.
_FORGET_EACH_MS = 300_000
# Trials are short and news of their ends takes some ten ms: a suspect rather waits this
# long for its own than comes back in a second.
_TRIAL_PATIENCE_MS = 500
_LOGGED = 5
# A caller whose suspect has to wait for a trial comes back after about one.
_TRIAL_WAIT_MS = 1_000
TRIAL_IS_OVER = Held("its trial is over", _TRIAL_WAIT_MS)
_NO_TRIAL_YET = Held("its trial cannot begin yet", _TRIAL_WAIT_MS)


class Quarantine:
    """Keeps requests that end replicas from ending more of them.

    What goes wrong: a request makes each replica crash that begins to run it. Its
    caller is told that it failed and asks again, under a new id and at any node, and
    each time the other requests of one more replica fail with it. One notices by
    replicas that end singly and soon after each other, and by the same fingerprint
    among what was cut at each. Asked a dozen times at three nodes, such work ended 12
    replicas where it runs once each time and 24 where it may be repeated; held, 3 and 4
    (``tests.fleet.test_crashing_requests``). The nodes therefore tell each other what
    was under way where a replica ended, by fingerprint and not by id, and the table
    keeps what was so more than once; see ``Suspects`` for what is decided from it.

    ``cut`` counts the requests of this node that were under way where a replica ended.
    ``look_soon`` has the table read without delay, since news between nodes may not
    have come.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        store: StoreClient,
        table: str,
        node: str,
        peer_addresses: Callable[[], list[Address]],
        look_soon: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._look_soon = look_soon
        self._cuts = Cuts()
        self._suspects = Suspects()
        self._rows = SuspectRows(
            self._suspects, store=store, table=table, node=node, clock=clock
        )
        self._news = SuspectNews(
            self._suspects, clock=clock, peer_addresses=peer_addresses
        )
        self._unsettled: set[str] = set()
        self._has_work = asyncio.Event()
        self._changed = asyncio.Event()
        self._checked: set[int] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.cut = 0

    @property
    def held(self) -> int:
        """Return how many requests are not sent freely."""
        return self._suspects.held

    def use(self, link: PeerLink) -> None:
        """Tell and hear of ends over a link from now on."""
        self._news.use(link)

    def on_news(self, news: TableUpdate) -> None:
        """Take what changed in the table."""
        to_write_again = self._rows.on_news(news)
        if to_write_again:
            self._unsettled.update(to_write_again)
            self._has_work.set()
        self._changed.set()
        self._changed = asyncio.Event()

    async def admit(self, fingerprint: str) -> Free | Held | Trial:
        """Say whether a request may be sent; a trial is the right to one send."""
        end_ms = self._clock.now_ms() + _TRIAL_PATIENCE_MS
        while True:
            now_ms = self._clock.now_ms()
            verdict = self._suspects.verdict(now_ms, fingerprint)
            if isinstance(verdict, Free | Held):
                return verdict
            if self._rows.trial_is_free:
                trial = await self._rows.begin_trial(fingerprint)
                if trial is not None:
                    return trial
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                return _NO_TRIAL_YET
            self._look_soon()
            await within_ms(self._clock, left_ms, self._changed.wait())

    def end_trial(
        self, trial: Trial, *, was_sent: bool, begun_at: ReplicaState | None
    ) -> None:
        """End a trial, whatever came of it.

        ``begun_at`` is the replica that surely began on it, if any. If that one is
        still there the trial does not count: the request did no harm, and its caller
        may just have left. Nor does it if it was not sent at all.
        """
        if was_sent:
            self._spawn(self._end_trial(trial, begun_at))
        else:
            self._spawn(self._rows.end_trial(trial, counts=False))

    def on_cut(self, fingerprint: str, replica: ReplicaState, *, is_late: bool) -> None:
        """Take a send that came to no answer; find out whether the replica ended.

        ``is_late`` tells that its deadline came: the replica is probably sound, and
        a connection to look would be one more for each late answer.
        """
        if not self._may_crash(replica):
            return
        found = self._cuts.on_cut(self._clock.now_ms(), fingerprint, replica.number)
        if found:
            self._blame(replica, found)
        elif not is_late and replica.number not in self._checked:
            self._checked.add(replica.number)
            self._spawn(self._check(replica))

    def on_refused(self, replica: ReplicaState) -> None:
        """Take a refused connection: nothing listens there any more."""
        if self._may_crash(replica):
            self._on_end(replica)

    def on_gone(self, replica: ReplicaState) -> None:
        """Take a replica that is listed no more."""
        if not replica.is_leaving:
            self._on_end(replica)

    def on_answered(self, fingerprint: str) -> None:
        """Take a request that a replica ran to a whole answer and survived."""
        if not self._suspects.ends_of(fingerprint):
            return
        forgiven = self._suspects.clear(fingerprint)
        log.info("quarantine: %s cleared of %d ends", fingerprint, len(forgiven))
        self._news.cleared(fingerprint, forgiven)
        self._unsettled.add(fingerprint)
        self._has_work.set()

    @property
    def tasks(self) -> list[asyncio.Task[Any]]:
        """Return the tasks that run now."""
        return list(self._tasks)

    async def run(self) -> None:
        """Write what the table lacks, until cancelled."""
        forgotten_ms = self._clock.now_ms()
        while True:
            await within_ms(self._clock, _FORGET_EACH_MS, self._has_work.wait())
            self._has_work.clear()
            await self._settle()
            if self._clock.now_ms() - forgotten_ms >= _FORGET_EACH_MS:
                forgotten_ms = self._clock.now_ms()
                self._unsettled.update(self._suspects.forget(forgotten_ms))
            if self._unsettled:
                await within_ms(self._clock, _RETRY_MS, self._changed.wait())
                self._has_work.set()

    async def _settle(self) -> None:
        for fingerprint in list(self._unsettled):
            if await self._rows.settle(fingerprint):
                self._unsettled.discard(fingerprint)
            else:
                self._look_soon()

    def _may_crash(self, replica: ReplicaState) -> bool:
        """Tell whether the end of a replica would be a crash.

        One that leaves as planned ends too, and so does one whose entry went first.
        """
        state = self._directory.find_start(replica.number)
        return state is not None and not state.is_leaving

    async def _check(self, replica: ReplicaState) -> bool:
        """Find out now whether a replica is there, and not once its entry lapses."""
        connection = await self._pool.take(
            replica.entry.address, connect_ms=_CONNECT_MS, fresh=True
        )
        self._checked.discard(replica.number)
        if not isinstance(connection, NotConnected):
            self._pool.give_back(connection)
            return True
        if connection.is_refused:
            self.on_refused(replica)
        return False

    async def _end_trial(self, trial: Trial, begun_at: ReplicaState | None) -> None:
        is_cleared = not self._suspects.ends_of(trial.fingerprint)
        survived = begun_at is not None and (is_cleared or await self._check(begun_at))
        await self._rows.end_trial(trial, counts=not survived)

    def _on_end(self, replica: ReplicaState) -> None:
        found = self._cuts.on_end(self._clock.now_ms(), replica.number)
        if found:
            self._blame(replica, found)

    def _blame(self, replica: ReplicaState, fingerprints: tuple[str, ...]) -> None:
        """Note requests that were under way where a replica ended, and tell others."""
        now_ms = self._clock.now_ms()
        self.cut += len(fingerprints)
        for fingerprint in fingerprints:
            self._suspects.on_ends(now_ms, fingerprint, [replica.number])
        self._news.ended(replica.number, fingerprints)
        self._unsettled.update(fingerprints)
        self._has_work.set()
        self._look_soon()
        log.info(
            "quarantine: %s ended under %d requests",
            replica.entry.incarnation,
            len(fingerprints),
            extra={"fields": {"fingerprints": self._worst(fingerprints)}},
        )

    def _worst(self, fingerprints: tuple[str, ...]) -> dict[str, int]:
        """Return the ends of those that were under way at the most."""
        ends = {name: len(self._suspects.ends_of(name)) for name in fingerprints}
        worst = sorted(ends, key=lambda name: -ends[name])[:_LOGGED]
        return {name: ends[name] for name in worst}

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
