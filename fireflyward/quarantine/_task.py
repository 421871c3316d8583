"""The task that detects requests that crash replicas, and holds them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from fireflyward.clock import Clock, within_ms
from fireflyward.feeds import TableUpdate
from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.peers import Address, PeerLink
from fireflyward.platform import StoreClient
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._announcer import SuspectAnnouncer
from ._cuts import Cuts
from ._messages import Free, Held, Trial
from ._rows import SuspectRows
from ._suspects import Suspects

log = logging.getLogger("fireflyward.quarantine")

# A replica is a few ms away; a lost packet is retransmitted after 200 ms.
_CONNECT_TIMEOUT_MS = 350
# Rows that could not be written are written again after this time, or sooner if the
# table shows that another node wrote them.
_RETRY_MS = 500
# How often old suspects are dropped.
_EXPIRY_PERIOD_MS = 300_000
# Trials are short, and other nodes see their end some ten ms later: a suspect waits
# this long for its own trial, which is less than the retry time of a second.
_MAX_TRIAL_WAIT_MS = 500
_MAX_LOGGED = 5
# A caller whose suspect has to wait for a trial retries after about the time of one.
_TRIAL_RETRY_AFTER_MS = 1_000
TRIAL_ENDED = Held("its trial has ended", _TRIAL_RETRY_AFTER_MS)
_NO_TRIAL_YET = Held("its trial cannot begin yet", _TRIAL_RETRY_AFTER_MS)


class Quarantine:
    """Holds requests that crash replicas, so that they do not crash more of them.

    This limits the following failure: a request crashes each replica that starts to run
    it. Its caller gets an error and repeats the request under a new id at any node, and
    each time the other requests of one more replica fail too. The symptoms are single
    replicas that crash shortly after each other, and the same fingerprint among the
    requests cut at each of them. Repeated a dozen times at three nodes, such a request
    crashed 12 replicas if it was sent once each time, and 24 if it was idempotent and
    therefore retried; with the quarantine it crashed 3 and 4
    (``tests.fleet.test_crashing_requests``). The nodes therefore announce to each other
    the requests that were in flight when a replica crashed, by fingerprint and not by
    id, and the table stores those with more than one crash. ``Suspects`` decides from
    this which requests to hold.

    ``cut`` counts the requests of this node that were in flight when a replica crashed.
    ``poll_soon`` makes the node read the table without delay, since an announcement may
    have been lost.
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
        poll_soon: Callable[[], None],
        connect: Callable[[ReplicaState], Awaitable[HttpConnection | NotConnected]]
        | None = None,
        on_crash: Callable[[ReplicaState], None] = lambda replica: None,
    ) -> None:
        """``connect`` opens a new connection to a replica, by the path that works.

        ``on_crash`` is called with each replica that crashed.
        """
        self._crash_listener = on_crash
        self._clock = clock
        self._connect = connect or self._connect_directly
        self._pool = pool
        self._directory = directory
        self._poll_soon = poll_soon
        self._cuts = Cuts()
        self._suspects = Suspects()
        self._rows = SuspectRows(
            self._suspects, store=store, table=table, node=node, clock=clock
        )
        self._announcer = SuspectAnnouncer(
            self._suspects, clock=clock, peer_addresses=peer_addresses
        )
        self._unsynced: set[str] = set()
        self._has_work = asyncio.Event()
        self._table_changed = asyncio.Event()
        self._checked: set[int] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.cut = 0

    @property
    def held(self) -> int:
        """Return how many requests are held or sent only on trial."""
        return self._suspects.held

    def use(self, link: PeerLink) -> None:
        """Send and receive announcements over a link from now on."""
        self._announcer.use(link)

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the table."""
        to_rewrite = self._rows.on_table_update(update)
        if to_rewrite:
            self._unsynced.update(to_rewrite)
            self._has_work.set()
        self._table_changed.set()
        self._table_changed = asyncio.Event()

    async def admit(self, fingerprint: str) -> Free | Held | Trial:
        """Decide whether a request may be sent; a trial permits one send."""
        deadline_ms = self._clock.now_ms() + _MAX_TRIAL_WAIT_MS
        while True:
            now_ms = self._clock.now_ms()
            verdict = self._suspects.verdict(now_ms, fingerprint)
            if isinstance(verdict, Free | Held):
                return verdict
            if self._rows.is_trial_free:
                trial = await self._rows.begin_trial(fingerprint)
                if trial is not None:
                    return trial
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                return _NO_TRIAL_YET
            self._poll_soon()
            await within_ms(self._clock, left_ms, self._table_changed.wait())

    def end_trial(
        self, trial: Trial, *, was_sent: bool, begun_at: ReplicaState | None
    ) -> None:
        """End a trial, whatever its result.

        ``begun_at`` is the replica that certainly started to run the request, if any.
        If that replica still answers, the trial does not count: the request is
        harmless, and its caller may just have disconnected. A trial that was not sent
        does not count either.
        """
        if was_sent:
            self._spawn(self._end_trial(trial, begun_at))
        else:
            self._spawn(self._rows.end_trial(trial, counts=False))

    def on_cut(self, fingerprint: str, replica: ReplicaState, *, is_late: bool) -> None:
        """Record a request without an answer; check whether the replica crashed.

        ``is_late`` means that the request's deadline passed: the replica is probably
        healthy, and each late answer would open one more probe connection.
        """
        if not self.counts_as_crash(replica):
            return
        found = self._cuts.on_cut(
            self._clock.now_ms(), fingerprint, replica.incarnation_id
        )
        if found:
            self._record_crash(replica, found)
        elif not is_late and replica.incarnation_id not in self._checked:
            self._checked.add(replica.incarnation_id)
            self._spawn(self._check(replica))

    def on_refused(self, replica: ReplicaState) -> None:
        """Handle a refused connection: no process listens at the address any more."""
        if self.counts_as_crash(replica):
            self._on_crash(replica)

    def on_removed(self, replica: ReplicaState) -> None:
        """Handle a replica that is not listed any more."""
        if not replica.is_leaving:
            self._on_crash(replica)

    def on_answered(self, fingerprint: str) -> None:
        """Clear a request whose answer a replica completed without a crash."""
        if not self._suspects.crashes_of(fingerprint):
            return
        cleared_ids = self._suspects.clear(fingerprint)
        log.info("quarantine: %s cleared of %d ends", fingerprint, len(cleared_ids))
        self._announcer.announce_cleared(fingerprint, cleared_ids)
        self._unsynced.add(fingerprint)
        self._has_work.set()

    @property
    def tasks(self) -> list[asyncio.Task[Any]]:
        """Return the running tasks."""
        return list(self._tasks)

    async def run(self) -> None:
        """Write missing and changed rows to the table, until cancelled."""
        last_expiry_ms = self._clock.now_ms()
        # A run that failed may have left work.
        self._has_work.set()
        while True:
            await within_ms(self._clock, _EXPIRY_PERIOD_MS, self._has_work.wait())
            self._has_work.clear()
            await self._sync()
            if self._clock.now_ms() - last_expiry_ms >= _EXPIRY_PERIOD_MS:
                last_expiry_ms = self._clock.now_ms()
                self._unsynced.update(self._suspects.forget(last_expiry_ms))
            if self._unsynced:
                await within_ms(self._clock, _RETRY_MS, self._table_changed.wait())
                self._has_work.set()

    async def _sync(self) -> None:
        for fingerprint in list(self._unsynced):
            if await self._rows.sync(fingerprint):
                self._unsynced.discard(fingerprint)
            else:
                self._poll_soon()

    def counts_as_crash(self, replica: ReplicaState) -> bool:
        """Return whether a replica that stops now has crashed.

        A leaving replica also stops, and so does one whose entry was removed first.
        """
        state = self._directory.find_incarnation(replica.incarnation_id)
        return state is not None and not state.is_leaving

    async def _check(self, replica: ReplicaState) -> bool:
        """Check now whether a replica listens, before its entry expires."""
        connection = await self._connect(replica)
        self._checked.discard(replica.incarnation_id)
        if not isinstance(connection, NotConnected):
            self._pool.release(connection)
            return True
        if connection.is_refused:
            self.on_refused(replica)
        return False

    async def _connect_directly(
        self, replica: ReplicaState
    ) -> HttpConnection | NotConnected:
        return await self._pool.acquire(
            replica.entry.address, connect_ms=_CONNECT_TIMEOUT_MS, fresh=True
        )

    async def _end_trial(self, trial: Trial, begun_at: ReplicaState | None) -> None:
        is_cleared = not self._suspects.crashes_of(trial.fingerprint)
        survived = begun_at is not None and (is_cleared or await self._check(begun_at))
        await self._rows.end_trial(trial, counts=not survived)

    def _on_crash(self, replica: ReplicaState) -> None:
        self._crash_listener(replica)
        found = self._cuts.on_crash(self._clock.now_ms(), replica.incarnation_id)
        if found:
            self._record_crash(replica, found)

    def _record_crash(
        self, replica: ReplicaState, fingerprints: tuple[str, ...]
    ) -> None:
        """Record and announce the requests in flight when a replica crashed."""
        now_ms = self._clock.now_ms()
        self.cut += len(fingerprints)
        for fingerprint in fingerprints:
            self._suspects.on_crashes(now_ms, fingerprint, [replica.incarnation_id])
        self._announcer.announce_crash(replica.incarnation_id, fingerprints)
        self._unsynced.update(fingerprints)
        self._has_work.set()
        self._poll_soon()
        log.info(
            "quarantine: %s ended under %d requests",
            replica.entry.incarnation,
            len(fingerprints),
            extra={"fields": {"fingerprints": self._most_crashes(fingerprints)}},
        )

    def _most_crashes(self, fingerprints: tuple[str, ...]) -> dict[str, int]:
        """Return the requests with the most crashes, and how many each has."""
        crashes = {name: len(self._suspects.crashes_of(name)) for name in fingerprints}
        most_crashes = sorted(crashes, key=lambda name: -crashes[name])[:_MAX_LOGGED]
        return {name: crashes[name] for name in most_crashes}

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
