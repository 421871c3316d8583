"""The task that records notices in replicas' answers and announces them to nodes."""

import logging
import math
import random
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from fireflyward.clock import Clock
from fireflyward.decoding import MAX_INT32
from fireflyward.peers import Address, PeerLink
from fireflyward.platform import (
    Brittleness,
    InvalidHeader,
    RateLimit,
    ResponseFacts,
)
from fireflyward.replicas import ReplicaDirectory, ReplicaState, ReportedLimit

from ._notices_structs import ReplicaNews

log = logging.getLogger("fireflyward.notices")

_KIND = "replica notices"
# Notices from answers within this time are sent together.
_BATCH_MS = 20
# Messages get lost, and nodes may have been unreachable or just started. Therefore each
# node sends all notices to some others, so that each node receives two messages a
# second on average.
_RESEND_MS = 1_000
_RESEND_NODES = 2
# How long the end of a limit is resent.
_RESEND_END_MS = 60_000
# A replica takes up to 42 bytes; a datagram has room for 1,400.
_MAX_REPLICAS_PER_DATAGRAM = 30
# Rejections of a replica that are announced together; it withstands few more.
_MAX_REJECTIONS = 20
_NO_LIMIT = -1.0
_MAX_AGE_MS = 2**31 - 1


class NoticeTask:
    """Records the notices in replicas' answers, and announces them to other nodes.

    A rate limit applies to all nodes together, so nodes that got no answer from the
    replica since then must know it too. If two nodes know different limits, the limit
    from the later answer is used. That a replica is leaving is never revoked. The
    backoff in a rejection applies only to the node whose request was rejected.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        peers: Callable[[], list[Address]],
        seed: int | None = None,
        lost_ms: Callable[[int], int] = lambda since_ms: 0,
    ) -> None:
        """``lost_ms`` returns for how long this process did not run since a time."""
        self._lost_ms = lost_ms
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._random = random.Random(seed)
        self._link: PeerLink | None = None
        self._pending: set[int] = set()
        self._rejecting: list[int] = []

    def use(self, link: PeerLink) -> None:
        """Send and receive announcements over a link from now on."""
        self._link = link
        link.register(
            _KIND,
            ReplicaNews,
            self._on_announcement,
            expires=True,
            handle_delayed=self._on_delayed_announcement,
        )

    def on_response(
        self, replica: ReplicaState, facts: ResponseFacts, *, sent_ms: int
    ) -> None:
        """Record the notices in the answer to a request sent at ``sent_ms``."""
        is_same = facts.incarnation == replica.entry.incarnation
        if facts.is_other_replica and not is_same:
            return
        self._warn_unreadable(replica, facts.notices.invalid_headers)
        self._record_backoff(replica, facts.notices.backoff_ms)
        if facts.notices.leaving is True and not replica.backpressure.is_leaving:
            self._record_leaving(replica, "its answer")
            self._schedule_announcement(replica)
        if self._update_limit(replica, facts, sent_ms):
            self._record_limit_change(replica, "its answer")
            self._schedule_announcement(replica)
        if self._update_brittleness(replica, facts, sent_ms):
            self._record_brittleness(replica, "its answer")
            self._schedule_announcement(replica)
        if replica.is_brittle and facts.was_not_run:
            replica.rejected.add(self._clock.now_ms())
            self._rejecting.append(replica.incarnation_id)
            self._schedule_announcement(replica)

    async def run(self) -> None:
        """Resend the current notices until cancelled."""
        while True:
            await self._clock.sleep_ms(_RESEND_MS)
            peers = self._peers()
            chosen = self._random.sample(peers, min(_RESEND_NODES, len(peers)))
            now_ms = self._clock.now_ms()
            states = self._directory.all()
            self._send(chosen, [item for item in states if _is_announced(now_ms, item)])

    def _record_backoff(
        self, replica: ReplicaState, backoff_ms: float | InvalidHeader
    ) -> None:
        """Record the backoff in a rejection; it does not apply to other nodes."""
        if isinstance(backoff_ms, InvalidHeader) or not backoff_ms:
            return
        now_ms = self._clock.now_ms()
        if not replica.backpressure.backoff_ms(now_ms):
            name = replica.entry.incarnation
            log.info("notices: %s wants nothing for %.0f ms", name, backoff_ms)
        replica.backpressure.on_backoff(now_ms, backoff_ms)

    def _update_limit(
        self, replica: ReplicaState, facts: ResponseFacts, sent_ms: int
    ) -> bool:
        known, limit = replica.backpressure.limit, facts.notices.limit
        if isinstance(limit, RateLimit):
            as_of_ms = self._answered_ms(sent_ms)
            return known.on_limit_named(as_of_ms, limit.per_second)
        # Only an answer from the replica itself shows that its limit has ended.
        if limit is None and facts.is_signed and known.per_second is not None:
            return known.on_no_limit(self._answered_ms(sent_ms), sent_ms)
        return False

    def _answered_ms(self, sent_ms: int) -> int:
        """Return since when an answer that is read now may have been there.

        Another node may have got a later answer and announced it, while this answer
        waited because the process did not run.
        """
        lost_ms = self._lost_ms(sent_ms)
        return max(sent_ms, self._clock.now_ms() - lost_ms)

    def _update_brittleness(
        self, replica: ReplicaState, facts: ResponseFacts, sent_ms: int
    ) -> bool:
        known, notice = replica.backpressure.brittle, facts.notices.brittle
        if isinstance(notice, Brittleness):
            as_of_ms = self._answered_ms(sent_ms)
            return known.on_limit_named(as_of_ms, notice.rejections_per_second)
        if notice is None and facts.is_signed and known.per_second is not None:
            return known.on_no_limit(self._answered_ms(sent_ms), sent_ms)
        return False

    def _record_brittleness(self, replica: ReplicaState, source: str) -> None:
        replica.backpressure.changes += 1
        rejections = replica.backpressure.brittle.per_second
        log.info(
            "notices: %s withstands %s rejections a second, by %s",
            replica.entry.incarnation,
            "any" if rejections is None else rejections,
            source,
        )

    def _record_limit_change(self, replica: ReplicaState, source: str) -> None:
        replica.backpressure.changes += 1
        per_second = replica.backpressure.limit.per_second
        log.info(
            "notices: %s takes %s requests a second, by %s",
            replica.entry.incarnation,
            "any" if per_second is None else per_second,
            source,
        )

    def _record_leaving(self, replica: ReplicaState, source: str) -> None:
        self._directory.on_leaving(replica)
        log.info("notices: %s leaves, by %s", replica.entry.incarnation, source)

    def _warn_unreadable(
        self, replica: ReplicaState, unreadable: tuple[InvalidHeader, ...]
    ) -> None:
        """Log the first unreadable headers of a replica."""
        if not unreadable or replica.backpressure.has_unreadable_header:
            return
        replica.backpressure.has_unreadable_header = True
        for item in unreadable:
            log.warning(
                "notices: %s of %s is unreadable: %.80r",
                item.header,
                replica.entry.incarnation,
                item.value,
            )

    def _schedule_announcement(self, replica: ReplicaState) -> None:
        if not self._pending:
            self._clock.call_later_ms(_BATCH_MS, self._announce_pending)
        self._pending.add(replica.incarnation_id)

    def _announce_pending(self) -> None:
        found = map(self._directory.find_incarnation, sorted(self._pending))
        self._pending.clear()
        rejecting, self._rejecting = self._rejecting[:_MAX_REJECTIONS], []
        states = [state for state in found if state is not None]
        self._send(self._peers(), states, rejecting)

    def _send(
        self,
        peers: list[Address],
        states: list[ReplicaState],
        rejecting: Sequence[int] = (),
    ) -> None:
        if self._link is None:
            return
        now_ms = self._clock.now_ms()
        for part in _parts(states):
            message = _encode(now_ms, part)
            message.rejecting = list(rejecting)
            rejecting = ()
            self._link.send_all(peers, _KIND, message)

    async def _on_announcement(self, sender: str, message: Any) -> None:
        now_ms = self._clock.now_ms()
        columns = zip(message.replicas, message.limits, message.ages_ms, strict=False)
        for incarnation_id, limit, age_ms in columns:
            state = self._directory.find_incarnation(incarnation_id)
            if state is None:
                continue
            if not _is_usable(limit):
                continue
            per_second = limit if limit >= 0 else None
            if state.backpressure.limit.on_limit_update(
                now_ms - max(0, age_ms), per_second
            ):
                self._record_limit_change(state, sender)
        self._apply_brittleness(now_ms, sender, message)
        await self._on_delayed_announcement(sender, message)

    async def _on_delayed_announcement(self, sender: str, message: Any) -> None:
        """Record what holds whenever the message was sent: which replicas leave."""
        for incarnation_id in message.leaving:
            state = self._directory.find_incarnation(incarnation_id)
            if state is not None and not state.backpressure.is_leaving:
                self._record_leaving(state, sender)

    def _apply_brittleness(self, now_ms: int, sender: str, message: Any) -> None:
        columns = zip(
            message.brittle or (),
            message.withstood or (),
            message.brittle_ages_ms or (),
            strict=False,
        )
        for incarnation_id, rejections, age_ms in columns:
            state = self._directory.find_incarnation(incarnation_id)
            if state is None:
                continue
            if not _is_usable(rejections):
                continue
            number = rejections if rejections >= 0 else None
            as_of_ms = now_ms - max(0, age_ms)
            if state.backpressure.brittle.on_limit_update(as_of_ms, number):
                self._record_brittleness(state, sender)
        for incarnation_id in message.rejecting or ():
            state = self._directory.find_incarnation(incarnation_id)
            if state is not None:
                state.rejected.add(now_ms)


def _is_usable(number: float) -> bool:
    """Return whether a replica can have reported a number; a negative one is none."""
    return math.isfinite(number) and number <= MAX_INT32


def _is_announced(now_ms: int, state: ReplicaState) -> bool:
    """Return whether a replica has notices that other nodes may not know."""
    if state.backpressure.is_leaving:
        return True
    backpressure = state.backpressure
    reported = (backpressure.limit, backpressure.brittle)
    return any(_is_recent(now_ms, limit) for limit in reported)


def _is_recent(now_ms: int, limit: ReportedLimit) -> bool:
    """Return whether a limit is in force or has ended lately."""
    if limit.as_of_ms is None:
        return False
    return limit.per_second is not None or now_ms - limit.as_of_ms < _RESEND_END_MS


def _parts(states: list[ReplicaState]) -> Iterator[list[ReplicaState]]:
    for first in range(0, len(states), _MAX_REPLICAS_PER_DATAGRAM):
        yield states[first : first + _MAX_REPLICAS_PER_DATAGRAM]


def _encode(now_ms: int, states: list[ReplicaState]) -> Any:
    limited = [(item, item.backpressure.limit) for item in states]
    brittle = [(item, item.backpressure.brittle) for item in states]
    limit_ids, limits, limit_ages_ms = _columns(now_ms, limited)
    brittle_ids, withstood, brittle_ages_ms = _columns(now_ms, brittle)
    return ReplicaNews(
        replicas=limit_ids,
        limits=limits,
        ages_ms=limit_ages_ms,
        leaving=[
            state.incarnation_id for state in states if state.backpressure.is_leaving
        ],
        brittle=brittle_ids,
        withstood=withstood,
        brittle_ages_ms=brittle_ages_ms,
    )


def _columns(
    now_ms: int, reported: list[tuple[ReplicaState, ReportedLimit]]
) -> tuple[list[int], list[float], list[int]]:
    """Return ids, numbers and ages of the reports that exist."""
    known = [(state, limit) for state, limit in reported if limit.as_of_ms is not None]
    return (
        [state.incarnation_id for state, _ in known],
        [_NO_LIMIT if x.per_second is None else x.per_second for _, x in known],
        [min(now_ms - limit.as_of_ms, _MAX_AGE_MS) for _, limit in known],
    )
