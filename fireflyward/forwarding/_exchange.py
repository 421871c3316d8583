"""One send to one replica: what comes back, and what of it the caller gets."""

from collections.abc import Callable
from typing import Protocol

from fireflyward.clock import Clock
from fireflyward.http1 import (
    BodyPart,
    Broken,
    ConnectionPool,
    End,
    Head,
    HttpConnection,
)
from fireflyward.platform import ResponseFacts, decode_response
from fireflyward.replicas import ReplicaState

from ._events import EventSplitter, StreamEvent
from ._messages import Failed, NotRunThere, SendResult, Streamed, WholeAnswer
from ._tools import Notices

# Larger answers than this are not read into memory; these services answer a few
# kilobytes.
_LARGEST_ANSWER = 16 * 1_024 * 1_024


class Reply(Protocol):
    """The way back to the caller."""

    async def whole(self, head: Head, body: bytes) -> None: ...

    async def begin(self, head: Head) -> None: ...

    async def event(self, data: bytes) -> None: ...

    async def end(self) -> None: ...


class StreamProgress:
    """How much of a stream the caller has had, over all replicas."""

    __slots__ = ("has_begun", "last_number")

    def __init__(self) -> None:
        self.has_begun = False
        self.last_number: int | None = None


class Exchange:
    """Reads one response; a whole answer is returned, a stream passed on as it comes.

    What the response says of the replica goes into its state. The connection is
    given back only after a whole response; else it is closed, which tells the
    replica to stop.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_due_ms",
        "_is_stream",
        "_notices",
        "_on_first",
        "_pool",
        "_progress",
        "_replica",
        "_reply",
        "_request_id",
        "_sent_ms",
    )

    def __init__(
        self,
        connection: HttpConnection,
        *,
        clock: Clock,
        pool: ConnectionPool,
        replica: ReplicaState,
        notices: Notices,
        request_id: str,
        due_ms: float,
        is_stream: bool,
        progress: StreamProgress,
        reply: Reply,
        on_first: Callable[[], None],
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._pool = pool
        self._replica = replica
        self._notices = notices
        self._request_id = request_id
        self._due_ms = due_ms
        self._is_stream = is_stream
        self._progress = progress
        self._reply = reply
        self._on_first = on_first
        self._sent_ms = clock.now_ms()

    async def read(self) -> SendResult | NotRunThere:
        """Read the response to its end."""
        event = await self._next()
        if not isinstance(event, Head):
            return self._no_answer(event)
        facts = decode_response(event)
        problem = self._problem(event, facts)
        if problem:
            return self._broken(problem)
        self._notices.on_response(self._replica, facts, sent_ms=self._sent_ms)
        if facts.load is not None:
            total = facts.load.running + facts.load.waiting
            self._replica.on_load(self._clock.now_ms(), total)
        if self._is_stream and event.status == 200:
            return await self._pass_stream(event)
        return await self._read_whole(event, facts)

    async def _next(self) -> object:
        return await self._connection.next_event_within(
            self._due_ms - self._clock.now_ms()
        )

    def _problem(self, head: Head, facts: ResponseFacts) -> str:
        """Say what is wrong with a response that is not this request's answer."""
        if facts.request_id not in (None, self._request_id):
            return f"answer of another request, {facts.request_id}"
        if facts.was_not_run:
            return ""
        if facts.request_id is None:
            return "answer without a request id"
        if head.status < 300 and not facts.is_signed:
            return "answer without a signature"
        if facts.is_encoded:
            return "answer in an encoding that nobody asked for"
        return ""

    def _no_answer(self, event: object) -> Failed:
        if event is None:
            self._connection.close()
            return Failed("no answer until the deadline", is_late=True)
        return self._broken(event.detail if isinstance(event, Broken) else "no head")

    def _broken(self, detail: str) -> Failed:
        self._connection.close()
        self._replica.on_send_failure(self._clock.now_ms())
        return Failed(detail)

    def _finished(self, *, failed: bool) -> None:
        """Note a whole response, and keep its connection."""
        self._pool.give_back(self._connection)
        self._replica.on_answer(failed=failed)
        self._replica.on_run_finished(self._clock.now_ms() - self._sent_ms)

    async def _read_whole(
        self, head: Head, facts: ResponseFacts
    ) -> WholeAnswer | Failed | NotRunThere:
        parts, size = [], 0
        while not isinstance(event := await self._next(), End):
            if not isinstance(event, BodyPart) or size > _LARGEST_ANSWER:
                return self._no_answer(event)
            parts.append(event.data)
            size += len(event.data)
        if facts.was_not_run:
            self._pool.give_back(self._connection)
            return NotRunThere(facts)
        self._finished(failed=head.status >= 500)
        return WholeAnswer(head, b"".join(parts))

    async def _pass_stream(self, head: Head) -> Streamed | Failed:
        splitter = EventSplitter()
        is_first = True
        while not isinstance(event := await self._next(), End):
            if not isinstance(event, BodyPart):
                return self._no_answer(event)
            if is_first:
                is_first = False
                self._on_first()
            await self._pass_events(head, splitter.feed(event.data))
        if splitter.rest:
            return self._broken("stream ends within an event")
        self._finished(failed=False)
        if not self._progress.has_begun:
            await self._reply.begin(head)
        await self._reply.end()
        return Streamed()

    async def _pass_events(self, head: Head, events: list[StreamEvent]) -> None:
        progress = self._progress
        for event in events:
            if event.number is not None and progress.last_number is not None:
                if event.number <= progress.last_number:
                    continue
            if not progress.has_begun:
                progress.has_begun = True
                await self._reply.begin(head)
            await self._reply.event(event.data)
            if event.number is not None:
                progress.last_number = event.number
