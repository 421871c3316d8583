"""Reads the events of KV stores from the aggregator of the failure domain."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.peers import CallFailed, PeerLink

from ._encoding import decode, encode
from ._follow import AGGREGATOR_CALL_LIMIT_MS, KvReader
from ._index import KvEvent, KvUpdate, StoreIndex
from ._prefixes_structs import StoreAnswer, StoreAsk

log = logging.getLogger("fireflyward.prefixes")

_KIND = "store events"
_EVENTS, _LOST, _WHOLE, _UNABLE = "events", "lost", "whole", "unable"
_USABLE = (_EVENTS, _LOST, _WHOLE)
# For each store, a node keeps the events of its last calls. At 150 ms or more per call
# these cover about ten seconds, which is longer than any delayed datagram or any pause
# that a node survives.
_MAX_RECENT_CALLS = 64
_MS_PER_SECOND = 1_000


class RecentEvents:
    """The last events of one store, in the order in which they were read; no I/O.

    >>> recent = RecentEvents()
    >>> recent.record(KvUpdate(7, (), 12, since=10))
    >>> recent.record(KvUpdate(7, (), 15, since=12))
    >>> recent.after(11).next_event, recent.after(3) is None
    (15, True)
    """

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: deque[KvUpdate] = deque(maxlen=_MAX_RECENT_CALLS)

    def record(self, update: KvUpdate) -> None:
        """Add the result of a call; drop all before a gap or a restart of the store."""
        last = self._calls[-1] if self._calls else None
        if last is not None:
            if update.since != last.next_event or update.epoch != last.epoch:
                self._calls.clear()
            elif update.next_event == last.next_event:
                return
        self._calls.append(update)

    def after(self, since: int) -> KvUpdate | None:
        """Return all events after a number, None if some of them are no longer kept.

        A node that has read further than this one gets no events: otherwise a part that
        it has already removed as freed would reappear in its index.
        """
        if not self._calls or self._calls[0].since > since:
            return None
        last = self._calls[-1]
        if since >= last.next_event:
            return KvUpdate(last.epoch, (), since, since=since)
        events: list[KvEvent] = []
        for update in self._calls:
            if update.next_event > since:
                events += update.events
        return KvUpdate(last.epoch, tuple(events), last.next_event, since=since)


class SharedStoreReader:
    """Reads stores through the aggregator, and directly if the aggregator fails.

    A store lets about a dozen callers wait and rejects others. When nodes could call
    only the store, one datagram of an aggregator that was lost or too large to send
    made all its neighbours call the store at once, and again every half second. With
    195 nodes and 15 stores these were 690 calls a second, which were rejected or
    charged, while prompts were prefilled again that the stores held. On request, the
    aggregator returns the events that it has read itself.
    """

    def __init__(
        self,
        reader: KvReader,
        *,
        clock: Clock,
        aggregators: Aggregators,
        index_of: Callable[[str], StoreIndex | None],
    ) -> None:
        self._reader = reader
        self._clock = clock
        self._aggregators = aggregators
        self._index_of = index_of
        self._link: PeerLink | None = None
        self._recent_by_address: dict[str, RecentEvents] = {}

    def use(self, link: PeerLink) -> None:
        """Send and answer requests over a link from now on."""
        self._link = link
        link.register(_KIND, StoreAsk, self._on_request)

    def on_read(self, address: str, update: KvUpdate) -> None:
        """Keep an update read from a store, for neighbours that missed it."""
        self._recent_by_address.setdefault(address, RecentEvents()).record(update)

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvUpdate | None:
        """Return the events after ``since``; the aggregator answers without waiting."""
        request = StoreAsk(address=address, since=since, is_whole=False)
        answer = await self._call_aggregator(request)
        if answer is None:
            return await self._reader.kv_events(
                address, since=since, wait_ms=wait_ms, limit_ms=limit_ms
            )
        return _decode_answer(answer)

    async def kv_list(self, address: str, *, limit_ms: float) -> KvUpdate | None:
        """Return all parts that a store holds."""
        answer = await self._call_aggregator(
            StoreAsk(address=address, since=0, is_whole=True)
        )
        if answer is None:
            return await self._reader.kv_list(address, limit_ms=limit_ms)
        return _decode_answer(answer)

    def _current_aggregator(self) -> Member | None:
        if self._link is None or not self._aggregators.are_needed:
            return None
        return self._aggregators.own_aggregator(self._clock.now_ms())

    async def _call_aggregator(self, request: Any) -> Any | None:
        """Return the aggregator's answer, None if the store must be called instead."""
        aggregator = self._current_aggregator()
        if self._link is None or aggregator is None:
            return None
        answer = await self._link.call(
            aggregator.address,
            _KIND,
            request,
            StoreAnswer,
            timeout_s=AGGREGATOR_CALL_LIMIT_MS / _MS_PER_SECOND,
        )
        if isinstance(answer, CallFailed):
            log.info(
                "prefixes: reading %s from %s failed: %s",
                request.address,
                aggregator.name,
                answer,
            )
            return None
        return answer

    async def _on_request(self, sender: str, request: Any) -> Any:
        """Answer a neighbour with the events that this node has read from a store."""
        index = self._index_of(request.address)
        if index is None or index.epoch is None or not index.is_up:
            return StoreAnswer(outcome=_UNABLE)
        if self._clock.now_ms() >= index.valid_until_ms:
            return StoreAnswer(outcome=_UNABLE)
        if request.is_whole:
            return StoreAnswer(
                outcome=_WHOLE, events=encode(request.address, index.snapshot())
            )
        recent = self._recent_by_address.get(request.address)
        update = None if recent is None else recent.after(request.since)
        if update is None or update.epoch != index.epoch:
            empty = KvUpdate(index.epoch, (), index.next_event, since=request.since)
            return StoreAnswer(outcome=_LOST, events=encode(request.address, empty))
        return StoreAnswer(outcome=_EVENTS, events=encode(request.address, update))


def _decode_answer(answer: Any) -> KvUpdate | None:
    if answer.outcome not in _USABLE or answer.events is None:
        return None
    return decode(
        answer.events,
        is_snapshot=answer.outcome == _WHOLE,
        has_gap=answer.outcome == _LOST,
    )
