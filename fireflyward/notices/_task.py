"""The task that takes what replicas say of themselves, and tells the other nodes."""

import logging
import random
from collections.abc import Callable, Iterator
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import Address, PeerLink
from fireflyward.platform import RateLimit, ResponseFacts, Unreadable
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._notices_structs import ReplicaNews

log = logging.getLogger("fireflyward.notices")

_NEWS = "replica notices"
# What answers of one moment bring goes out together.
_GATHER_MS = 20
# News that was lost, and nodes that were cut off or have just started: each node tells
# some others all that it believes, so that in a second each hears twice on average.
_REPEAT_MS = 1_000
_REPEATED_TO = 2
# How long it is repeated that a limit is over.
_OVER_MS = 60_000
# A replica takes up to 21 bytes; a datagram holds 1,400.
_MOST_IN_DATAGRAM = 60
_NO_LIMIT = -1.0
_MOST_AGE_MS = 2**31 - 1


class NoticeTask:
    """Notes what answers ask for, and has nodes know that got no such answer.

    A limit binds all nodes together, so one that has sent nothing to the replica since
    must know of it too. Of two nodes that differ the one with the later answer is
    believed. That a replica leaves is never taken back. The rest that a refusal asks
    for is asked of the node that was refused, and no other.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        peers: Callable[[], list[Address]],
        seed: int | None = None,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._random = random.Random(seed)
        self._link: PeerLink | None = None
        self._to_tell: set[int] = set()

    def use(self, link: PeerLink) -> None:
        """Tell and hear over a link from now on."""
        self._link = link
        link.register(_NEWS, ReplicaNews, self._on_news)

    def on_response(
        self, replica: ReplicaState, facts: ResponseFacts, *, sent_ms: int
    ) -> None:
        """Take what an answer says to a request that was sent at ``sent_ms``."""
        is_same = facts.incarnation == replica.entry.incarnation
        if facts.is_other_replica and not is_same:
            return
        self._warn_of(replica, facts.notices.unreadable)
        self._take_rest(replica, facts.notices.backoff_ms)
        if facts.notices.leaving is True and not replica.backpressure.is_leaving:
            self._note_leaving(replica, "its answer")
            self._tell_soon(replica)
        if self._takes_limit(replica, facts, sent_ms):
            self._note_limit(replica, "its answer")
            self._tell_soon(replica)

    async def run(self) -> None:
        """Repeat what holds until cancelled."""
        while True:
            await self._clock.sleep_ms(_REPEAT_MS)
            peers = self._peers()
            chosen = self._random.sample(peers, min(_REPEATED_TO, len(peers)))
            now_ms = self._clock.now_ms()
            states = self._directory.all()
            self._send(chosen, [item for item in states if _is_told(now_ms, item)])

    def _take_rest(self, replica: ReplicaState, backoff_ms: float | Unreadable) -> None:
        """Note what a refusal asks of this node; it says nothing to others."""
        if isinstance(backoff_ms, Unreadable) or not backoff_ms:
            return
        now_ms = self._clock.now_ms()
        if not replica.backpressure.backoff_ms(now_ms):
            name = replica.entry.incarnation
            log.info("notices: %s wants nothing for %.0f ms", name, backoff_ms)
        replica.backpressure.on_backoff(now_ms, backoff_ms)

    def _takes_limit(
        self, replica: ReplicaState, facts: ResponseFacts, sent_ms: int
    ) -> bool:
        now_ms, limit = self._clock.now_ms(), facts.notices.limit
        if isinstance(limit, RateLimit):
            return replica.backpressure.limit.on_limit_named(now_ms, limit.per_second)
        # Only what the replica made itself shows that it names none any more.
        if limit is None and facts.is_signed:
            return replica.backpressure.limit.on_no_limit(now_ms, sent_ms)
        return False

    def _note_limit(self, replica: ReplicaState, source: str) -> None:
        replica.backpressure.changes += 1
        per_second = replica.backpressure.limit.per_second
        log.info(
            "notices: %s takes %s requests a second, by %s",
            replica.entry.incarnation,
            "any" if per_second is None else per_second,
            source,
        )

    def _note_leaving(self, replica: ReplicaState, source: str) -> None:
        self._directory.on_leaving(replica)
        log.info("notices: %s leaves, by %s", replica.entry.incarnation, source)

    def _warn_of(
        self, replica: ReplicaState, unreadable: tuple[Unreadable, ...]
    ) -> None:
        """Write of the first headers of a replica that cannot be read."""
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

    def _tell_soon(self, replica: ReplicaState) -> None:
        if not self._to_tell:
            self._clock.call_later_ms(_GATHER_MS, self._tell)
        self._to_tell.add(replica.incarnation_id)

    def _tell(self) -> None:
        found = map(self._directory.find_incarnation, sorted(self._to_tell))
        self._to_tell.clear()
        self._send(self._peers(), [state for state in found if state is not None])

    def _send(self, peers: list[Address], states: list[ReplicaState]) -> None:
        if self._link is None:
            return
        now_ms = self._clock.now_ms()
        for part in _parts(states):
            self._link.send_all(peers, _NEWS, _message(now_ms, part))

    async def _on_news(self, sender: str, news: Any) -> None:
        now_ms = self._clock.now_ms()
        columns = zip(news.replicas, news.limits, news.ages_ms, strict=False)
        for number, limit, age_ms in columns:
            state = self._directory.find_incarnation(number)
            if state is None:
                continue
            per_second = limit if limit >= 0 else None
            if state.backpressure.limit.on_limit_update(
                now_ms - max(0, age_ms), per_second
            ):
                self._note_limit(state, sender)
        for number in news.leaving:
            state = self._directory.find_incarnation(number)
            if state is not None and not state.backpressure.is_leaving:
                self._note_leaving(state, sender)


def _is_told(now_ms: int, state: ReplicaState) -> bool:
    """Tell whether something is believed of a replica that others may not know."""
    if state.backpressure.is_leaving:
        return True
    limit = state.backpressure.limit
    if limit.as_of_ms is None:
        return False
    return limit.per_second is not None or now_ms - limit.as_of_ms < _OVER_MS


def _parts(states: list[ReplicaState]) -> Iterator[list[ReplicaState]]:
    for first in range(0, len(states), _MOST_IN_DATAGRAM):
        yield states[first : first + _MOST_IN_DATAGRAM]


def _message(now_ms: int, states: list[ReplicaState]) -> Any:
    named = [state for state in states if state.backpressure.limit.as_of_ms is not None]
    limits = [state.backpressure.limit for state in named]
    return ReplicaNews(
        replicas=[state.incarnation_id for state in named],
        limits=[_NO_LIMIT if x.per_second is None else x.per_second for x in limits],
        ages_ms=[min(now_ms - limit.as_of_ms, _MOST_AGE_MS) for limit in limits],
        leaving=[
            state.incarnation_id for state in states if state.backpressure.is_leaving
        ],
    )
