"""Detects replicas from which no byte arrives while requests wait there."""

from collections.abc import Callable

from fireflyward.replicas import LoadEstimate, ReplicaState, Requirements

# A replica is silent if a send has waited there for this multiple of its overdue time
# and at least this long. A lost packet is sent again after about 200 ms.
_OVERDUE_MULTIPLE = 2.0
_MIN_SILENCE_MS = 250.0
# Replicas count as heard of if a byte has arrived within this time. If a larger share
# than the second of the replicas in use is silent, the cause is load or this node. In a
# large fault that was observed, a fifth of the replicas became unresponsive.
_HEARD_MS = 5_000
# How long a send that was given up still counts. Otherwise a replica would be found
# silent only by sends that wait longer than a second send takes.
_GIVEN_UP_MS = 1_000
_FEW_SHARE = 0.4
# A process that did not run for at least the first time reads within the second what
# arrived meanwhile. That also covers the inaccuracy of the measured time.
_STANDSTILL_MS = 200
_AFTER_STANDSTILL_MS = 250
# As for a replica to which the last sends failed.
_SILENT_COST_MS = 5_000.0


class WaitingSend:
    """A send for which no response has begun; ``limit_ms`` is when it shows silence."""

    __slots__ = ("given_up_ms", "limit_ms", "replica_id", "sent_ms")

    def __init__(self, replica_id: int, sent_ms: int, limit_ms: float | None) -> None:
        self.replica_id = replica_id
        self.sent_ms = sent_ms
        self.given_up_ms: int | None = None
        self.limit_ms = limit_ms


class SilentReplicas:
    """The sends of this node that wait, and when each replica last sent a byte; no I/O.

    This prevents the following delay: a replica stops responding, and each new request
    is sent there on a kept connection until the kernel closes it after some 3 s. A slow
    replica differs from an unresponsive one by the bytes of its other responses.
    ``lost_ms`` returns for how long this process did not run since a time: bytes that
    arrived meanwhile have not been read, so this time does not count.

    >>> silent = SilentReplicas()
    >>> send = silent.on_sent(0, 7, overdue_ms=100.0)
    >>> silent.is_silent(249, 7), silent.is_silent(250, 7)
    (False, True)
    >>> silent.on_bytes(250, 7)
    >>> silent.is_silent(300, 7)
    False
    """

    __slots__ = ("_last_byte_ms_by_id", "_lost_ms", "_sends_by_id")

    def __init__(self, *, lost_ms: Callable[[int], int] = lambda since_ms: 0) -> None:
        self._lost_ms = lost_ms
        self._last_byte_ms_by_id: dict[int, int] = {}
        self._sends_by_id: dict[int, set[WaitingSend]] = {}

    def on_sent(
        self, now_ms: int, replica_id: int, *, overdue_ms: float | None
    ) -> WaitingSend:
        """Add a send; without an overdue time it does not show that a replica hangs."""
        limit_ms = None
        if overdue_ms is not None:
            limit_ms = max(_MIN_SILENCE_MS, _OVERDUE_MULTIPLE * overdue_ms)
        send = WaitingSend(replica_id, now_ms, limit_ms)
        self._sends_by_id.setdefault(replica_id, set()).add(send)
        return send

    def on_bytes(self, now_ms: int, replica_id: int) -> None:
        """Record that a part of any response arrived from a replica."""
        self._last_byte_ms_by_id.pop(replica_id, None)
        self._last_byte_ms_by_id[replica_id] = now_ms
        oldest = next(iter(self._last_byte_ms_by_id.items()))
        if now_ms - oldest[1] > _HEARD_MS:
            del self._last_byte_ms_by_id[oldest[0]]

    def on_end(self, send: WaitingSend) -> None:
        """Remove a send whose response began or which ended; may be called again."""
        sends = self._sends_by_id.get(send.replica_id)
        if sends is not None:
            sends.discard(send)
            if not sends:
                del self._sends_by_id[send.replica_id]

    def on_given_up(self, now_ms: int, send: WaitingSend) -> None:
        """Record that a send was cancelled; it still counts for some time."""
        send.given_up_ms = now_ms

    def silent_at_ms(self, send: WaitingSend) -> float | None:
        """Return when a send shows that its replica is silent if no byte arrives."""
        if send.limit_ms is None:
            return None
        heard_ms = self._last_byte_ms_by_id.get(send.replica_id, send.sent_ms)
        since_ms = max(send.sent_ms, heard_ms)
        lost_ms = self._lost_ms(since_ms)
        if lost_ms >= _STANDSTILL_MS:
            since_ms += lost_ms + _AFTER_STANDSTILL_MS
        return since_ms + send.limit_ms

    def is_silent(self, now_ms: int, replica_id: int) -> bool:
        """Return whether a send waits for longer than a working replica takes."""
        sends = self._sends_by_id.get(replica_id, ())
        for send in tuple(sends):
            given_up_ms = send.given_up_ms
            if given_up_ms is not None and now_ms - given_up_ms >= _GIVEN_UP_MS:
                self.on_end(send)
        return any(self._is_overdue(now_ms, send) for send in sends)

    def _is_overdue(self, now_ms: int, send: WaitingSend) -> bool:
        if send.limit_ms is None or now_ms < send.sent_ms + send.limit_ms:
            return False
        return now_ms >= self.silent_at_ms(send)

    def count(self, now_ms: int) -> int:
        """Return how many replicas are silent."""
        return sum(self.is_silent(now_ms, each) for each in tuple(self._sends_by_id))

    def are_few(self, now_ms: int) -> bool:
        """Return whether silent replicas are few among those in use."""
        in_use = self._sends_by_id.keys() | {
            replica_id
            for replica_id, heard_ms in self._last_byte_ms_by_id.items()
            if now_ms - heard_ms <= _HEARD_MS
        }
        return self.count(now_ms) <= max(1.0, _FEW_SHARE * len(in_use))


class SilentReplicaCost:
    """A cost term that keeps new requests away from silent replicas."""

    __slots__ = ("_silent",)

    def __init__(self, silent: SilentReplicas) -> None:
        self._silent = silent

    def cost_ms(
        self,
        now_ms: int,
        state: ReplicaState,
        load: LoadEstimate,
        requirements: Requirements,
    ) -> float:
        """Return the additional cost of sending a request to a replica."""
        is_silent = self._silent.is_silent(now_ms, state.incarnation_id)
        return _SILENT_COST_MS if is_silent else 0.0
