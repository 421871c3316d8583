"""Notices when a replica stops responding while requests wait there."""

import logging
from collections.abc import Callable

from fireflyward.clock import Clock, Timer
from fireflyward.hedging import Hedging, WaitingSend
from fireflyward.http1 import ConnectionPool
from fireflyward.replicas import ReplicaState

from ._interfaces import Reach

log = logging.getLogger("fireflyward.forwarding")


class SilenceWatch:
    """Marks unresponsive replicas, and reports them to the requests that wait there."""

    __slots__ = ("_callbacks_by_id", "_clock", "_hedging", "_pool", "_reach", "found")

    def __init__(
        self, *, clock: Clock, pool: ConnectionPool, reach: Reach, hedging: Hedging
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._reach = reach
        self._hedging = hedging
        self._callbacks_by_id: dict[int, set[Callable[[], None]]] = {}
        self.found = 0

    def begin(
        self,
        replica: ReplicaState,
        overdue_ms: float | None,
        on_unresponsive: Callable[[], None] | None,
    ) -> "WatchedSend":
        """Watch a send until a response begins or it ends."""
        if on_unresponsive is not None:
            callbacks = self._callbacks_by_id.setdefault(replica.incarnation_id, set())
            callbacks.add(on_unresponsive)
        return WatchedSend(
            self, self._clock, self._hedging, replica, overdue_ms, on_unresponsive
        )

    def end(
        self, replica: ReplicaState, on_unresponsive: Callable[[], None] | None
    ) -> None:
        """Stop reporting to a send."""
        callbacks = self._callbacks_by_id.get(replica.incarnation_id)
        if callbacks is not None:
            callbacks.discard(on_unresponsive)
            if not callbacks:
                del self._callbacks_by_id[replica.incarnation_id]

    def on_silent(self, replica: ReplicaState) -> None:
        """Avoid a replica from which no byte arrives, and close its idle connections.

        If many replicas are silent, the cause is load or this node, and new connections
        to all of them would add to it.
        """
        now_ms = self._clock.now_ms()
        if not self._hedging.silent.are_few(now_ms):
            return
        if not replica.is_suspect(now_ms):
            self.found += 1
            log.warning(
                "forwarding: replica %s is unresponsive", replica.entry.incarnation
            )
            replica.on_send_failure(now_ms)
        self._pool.close_idle(replica.entry.address)
        self._reach.on_silent(replica)
        self.on_unresponsive(replica)

    def on_unresponsive(self, replica: ReplicaState) -> None:
        """Report a replica to the repeatable requests that wait there."""
        for callback in tuple(self._callbacks_by_id.get(replica.incarnation_id, ())):
            callback()


class WatchedSend:
    """One send, from its start until its response begins or it ends."""

    __slots__ = (
        "_clock",
        "_on_unresponsive",
        "_replica",
        "_send",
        "_silent",
        "_timer",
        "_watch",
    )

    def __init__(
        self,
        watch: SilenceWatch,
        clock: Clock,
        hedging: Hedging,
        replica: ReplicaState,
        overdue_ms: float | None,
        on_unresponsive: Callable[[], None] | None,
    ) -> None:
        self._watch = watch
        self._clock = clock
        self._silent = hedging.silent
        self._replica = replica
        self._on_unresponsive = on_unresponsive
        self._send: WaitingSend = self._silent.on_sent(
            clock.now_ms(), replica.incarnation_id, overdue_ms=overdue_ms
        )
        self._timer: Timer | None = None
        self._schedule()

    def on_bytes(self) -> None:
        """Record that a part of the response arrived."""
        self._silent.on_bytes(self._clock.now_ms(), self._replica.incarnation_id)

    def end(self) -> None:
        """Stop waiting; may be called again."""
        if self._send.given_up_ms is None:
            self._silent.on_end(self._send)
        self._watch.end(self._replica, self._on_unresponsive)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def give_up(self) -> None:
        """Stop waiting for an overdue response, which still tells of its replica."""
        self._silent.on_given_up(self._clock.now_ms(), self._send)
        self.end()

    def _schedule(self) -> None:
        silent_at_ms = self._silent.silent_at_ms(self._send)
        if silent_at_ms is not None:
            wait_ms = silent_at_ms - self._clock.now_ms()
            self._timer = self._clock.call_later_ms(wait_ms, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._silent.silent_at_ms(self._send) > self._clock.now_ms():
            self._schedule()
        else:
            self._watch.on_silent(self._replica)
