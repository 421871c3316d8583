"""Reads the response of one replica to one send and passes it to the caller."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from fireflyward.attribution import Origin, origin_of
from fireflyward.clock import Clock
from fireflyward.http1 import (
    MAX_BODY_BYTES,
    BodyPart,
    BodyTooLarge,
    Broken,
    BrokenAt,
    ConnectionPool,
    End,
    Head,
    HttpConnection,
    read_body,
)
from fireflyward.platform import ResponseFacts, decode_response
from fireflyward.replicas import ReplicaState

from ._events import EventSplitter, StreamEvent
from ._interfaces import Notices, Speeds
from ._messages import (
    NOT_RUN_STATUSES,
    Failed,
    NotRunThere,
    SendResult,
    Streamed,
    Superseded,
    Unsent,
    WholeAnswer,
)

log = logging.getLogger("fireflyward.forwarding")

# A rejection has a few words.
_MAX_REJECTION_BYTES = 65_536
_MAX_EVENT_BYTES = 1 << 20
# An event has one token at least. Events without a token, such as comments, are few.
_MAX_EVENTS_PER_TOKEN = 2
_MAX_OTHER_EVENTS = 1_000
# For a request that does not say how many tokens it asks for.
_MAX_EVENTS = 100_000
# Events that are passed on before other tasks run again.
_EVENTS_AT_ONCE = 500
_NO_BODY = "connection closed after the header"


class Reply(Protocol):
    """Writes the response to the caller."""

    async def send_response(self, head: Head, body: bytes | bytearray) -> None: ...

    async def begin_stream(self, head: Head) -> None: ...

    async def send_event(self, data: bytes) -> None: ...

    async def end_stream(self) -> None: ...


class StreamProgress:
    """How much of a stream the caller has received, from all replicas together.

    ``software`` is the software version of the replicas that may continue it, None
    before its first event.
    """

    __slots__ = ("has_begun", "last_number", "software")

    def __init__(self) -> None:
        self.has_begun = False
        self.last_number: int | None = None
        self.software: str | None = None


class Exchange:
    """Reads one response: returns a complete answer or forwards a stream to the caller.

    The facts that the response reports about the replica update its state. The
    connection returns to the pool only after a complete response. Otherwise it is
    closed, and the replica stops working on the request.
    """

    __slots__ = (
        "_claim",
        "_clock",
        "_connection",
        "_due_ms",
        "_is_stream",
        "_max_events",
        "_notices",
        "_on_begun",
        "_on_event",
        "_on_first_data",
        "_on_pause",
        "_on_weights",
        "_pool",
        "_progress",
        "_replica",
        "_reply",
        "_request_id",
        "_sent_ms",
        "_speeds",
    )

    def __init__(
        self,
        connection: HttpConnection,
        *,
        clock: Clock,
        pool: ConnectionPool,
        replica: ReplicaState,
        notices: Notices,
        speeds: Speeds,
        request_id: str,
        due_ms: float,
        is_stream: bool,
        max_output_tokens: int,
        progress: StreamProgress,
        reply: Reply,
        on_begun: Callable[[], None],
        on_event: Callable[[], None],
        claim: Callable[[], bool],
        on_first_data: Callable[[], None],
        on_pause: Callable[[float], None],
        on_weights: Callable[[int | None], None],
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._pool = pool
        self._replica = replica
        self._notices = notices
        self._speeds = speeds
        self._request_id = request_id
        self._due_ms = due_ms
        self._is_stream = is_stream
        self._max_events = _MAX_EVENTS
        if max_output_tokens:
            tokens = _MAX_EVENTS_PER_TOKEN * max_output_tokens
            self._max_events = tokens + _MAX_OTHER_EVENTS
        self._progress = progress
        self._reply = reply
        self._on_begun = on_begun
        self._on_event = on_event
        self._claim = claim
        self._on_first_data = on_first_data
        self._on_pause = on_pause
        self._on_weights = on_weights
        self._sent_ms = clock.now_ms()

    async def read(self) -> SendResult | NotRunThere:
        """Read the response until it is complete or has failed."""
        event = await self._next_event()
        if isinstance(event, Broken) and event.at is BrokenAt.UNSENT:
            self._fail(event.detail)
            return Unsent(event.detail)
        if not isinstance(event, Head):
            return self._on_incomplete(event)
        facts = decode_response(event)
        origin = origin_of(self._request_id, facts.request_id)
        if origin is not Origin.OWN:
            return self._on_unattributed(event, facts)
        problem = _find_problem(event, facts)
        if problem:
            return self._fail(problem)
        self._notices.on_response(self._replica, facts, sent_ms=self._sent_ms)
        self._speeds.on_response(self._replica, facts)
        self._on_weights(facts.weights)
        if facts.load is not None:
            total = facts.load.running + facts.load.waiting
            self._replica.on_load(self._clock.now_ms(), total)
        if self._is_stream and event.status == 200:
            return await self._forward_stream(event)
        return await self._read_answer(event, facts)

    async def _next_event(self) -> object:
        event = await self._connection.next_event_within(
            self._due_ms - self._clock.now_ms()
        )
        if event is not None and not isinstance(event, Broken):
            self._on_event()
        return event

    def _on_unattributed(self, head: Head, facts: ResponseFacts) -> Failed:
        """Give up a send, since the next response on its connection is not its own.

        The request may have run, whatever that response reports.
        """
        whose = "no request" if facts.request_id is None else facts.request_id
        self._fail(detail := f"response to {whose}, status {head.status}")
        return Failed(detail, is_unattributed=True)

    def _supersede(self) -> Superseded:
        self._connection.close()
        return Superseded()

    def _on_incomplete(self, event: object) -> Failed:
        if event is None:
            self._connection.close()
            return Failed("no answer until the deadline", is_late=True)
        return self._fail(
            event.detail
            if isinstance(event, Broken)
            else "response is malformed or too large"
        )

    def _give_up(self, problem: str) -> Failed:
        log.warning("forwarding: response of %s: %s", self._connection.address, problem)
        return self._fail(problem)

    def _fail(self, detail: str) -> Failed:
        self._connection.close()
        self._replica.on_send_failure(self._clock.now_ms())
        return Failed(detail)

    def _complete(self, *, failed: bool) -> None:
        """Record a complete response and return its connection to the pool."""
        self._pool.release(self._connection)
        self._replica.on_answer(failed=failed)
        self._replica.on_run_finished(self._clock.now_ms() - self._sent_ms)

    async def _read_answer(
        self, head: Head, facts: ResponseFacts
    ) -> WholeAnswer | Failed | NotRunThere | Superseded:
        is_usable = head.status < 500 and head.status not in NOT_RUN_STATUSES
        if is_usable and not facts.was_not_run and not self._claim():
            return self._supersede()
        body = await read_body(
            self._connection,
            head,
            self._next_event,
            memory=self._pool.memory,
            max_bytes=_MAX_REJECTION_BYTES if facts.was_not_run else MAX_BODY_BYTES,
        )
        if isinstance(body, BodyTooLarge):
            return self._fail(body.detail)
        if not isinstance(body, bytes | bytearray):
            return self._on_incomplete(body)
        if not body and self._ended_after_head(head):
            return self._fail(_NO_BODY)
        if facts.was_not_run:
            detail = f"status {head.status}, {self._connection.label}"
            self._pool.release(self._connection)
            return NotRunThere(facts, detail)
        self._complete(failed=head.status >= 500)
        return WholeAnswer(head, body)

    def _ended_after_head(self, head: Head) -> bool:
        """Return whether a success with no body ended with its connection.

        A replica that has nothing to send declares so; one that stopped after its head
        leaves the same bytes as one that closes a response without a length.
        """
        return 200 <= head.status < 300 and self._connection.ends_response

    async def _forward_stream(self, head: Head) -> Streamed | Failed | Superseded:
        splitter = EventSplitter()
        last_part_ms: int | None = None
        while not isinstance(event := await self._next_event(), End):
            if not isinstance(event, BodyPart):
                return self._on_incomplete(event)
            now_ms = self._clock.now_ms()
            if last_part_ms is None:
                if not self._claim():
                    return self._supersede()
                self._on_first_data()
            else:
                self._on_pause(now_ms - last_part_ms)
            last_part_ms = now_ms
            problem = await self._forward_part(head, splitter, event.data)
            if problem:
                return self._give_up(problem)
        if splitter.incomplete_bytes:
            return self._fail("stream ended within an event")
        if not splitter.events and self._ended_after_head(head):
            return self._fail(_NO_BODY)
        if last_part_ms is None and not self._claim():
            return self._supersede()
        self._complete(failed=False)
        if not self._progress.has_begun:
            await self._reply.begin_stream(head)
        await self._reply.end_stream()
        return Streamed()

    async def _forward_part(
        self, head: Head, splitter: EventSplitter, data: bytes
    ) -> str:
        """Forward the events that a part completes; return why the stream is none."""
        events = splitter.feed(data, max_events=_EVENTS_AT_ONCE)
        while events:
            if splitter.events > self._max_events:
                return f"stream of {splitter.events} events, limit {self._max_events}"
            await self._forward_events(head, events)
            if len(events) < _EVENTS_AT_ONCE:
                break
            await asyncio.sleep(0)
            events = splitter.feed(max_events=_EVENTS_AT_ONCE)
        size = splitter.incomplete_bytes
        if size > _MAX_EVENT_BYTES:
            return f"event of {size} bytes or more, limit {_MAX_EVENT_BYTES}"
        size = splitter.received_bytes
        if size > MAX_BODY_BYTES:
            return f"stream of {size} bytes or more, limit {MAX_BODY_BYTES}"
        return ""

    async def _forward_events(self, head: Head, events: list[StreamEvent]) -> None:
        """Forward events in one write, without those that the caller already has."""
        progress = self._progress
        last_number, new = progress.last_number, []
        for event in events:
            if event.number is not None:
                if last_number is not None and event.number <= last_number:
                    continue
                last_number = event.number
            new.append(event.data)
        if not new:
            return
        if not progress.has_begun:
            progress.has_begun = True
            self._on_begun()
            await self._reply.begin_stream(head)
        await self._reply.send_event(b"".join(new))
        progress.last_number = last_number


def _find_problem(head: Head, facts: ResponseFacts) -> str:
    """Describe what is wrong with a request's own response; empty if it may be used."""
    if facts.was_not_run:
        return ""
    if head.status < 300 and not facts.is_signed:
        return "response without a signature"
    if facts.is_encoded:
        return "response in an encoding that was not requested"
    return ""
