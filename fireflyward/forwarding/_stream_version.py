"""Keeps a stream at the software version of the replicas at which it began."""

from fireflyward.deployment import RouteKind
from fireflyward.http1 import HttpConnection, NotConnected
from fireflyward.limits import bounded_retry_after_ms
from fireflyward.outcomes import NotRun, Reason
from fireflyward.platform import CallerRequest, is_incarnation
from fireflyward.replicas import ReplicaState
from fireflyward.routes import Allowed
from fireflyward.streams import UnknownStream

from ._admission import MAX_WAIT_SHARE, SHORTEST_RETRY_AFTER_MS
from ._dependencies import Dependencies
from ._exchange import StreamProgress
from ._trace import Trace

# A replica answers for its report within a round trip.
_REPORT_LIMIT_MS = 350
# Nodes that did not answer may do so when the caller comes back.
_RETRY_AFTER_MS = 300


class StreamVersion:
    """Finds where a resumed stream began, and records where a new one begins.

    What replicas of two software versions write does not fit together, so from the
    first event on only replicas of one version may continue a stream, in this response
    or in a later one.
    """

    __slots__ = (
        "_account",
        "_allowed",
        "_caller",
        "_deps",
        "_progress",
        "_trace",
        "is_bound",
    )

    def __init__(
        self,
        deps: Dependencies,
        caller: CallerRequest,
        allowed: Allowed,
        progress: StreamProgress,
        trace: Trace,
    ) -> None:
        self._deps = deps
        self._caller = caller
        self._allowed = allowed
        self._account = allowed.account.name if allowed.account else ""
        self._progress = progress
        self._trace = trace
        # Whether the caller resumes a stream that only some replicas can continue.
        self.is_bound = False

    async def find(self, left_ms: float) -> NotRun | None:
        """Find the version of a stream that the caller resumes.

        Return why it cannot be resumed: replicas of several versions serve, and no node
        knows the stream. A new stream waits until a version is stored at which it may
        begin.
        """
        if not self._is_stream:
            return None
        if self._caller.last_event_id is None:
            return await self._wait_to_begin(left_ms)
        origin = await self._deps.streams.find(
            self._allowed.service, self._account, self._caller.first_request_id
        )
        if origin is None:
            return None
        if isinstance(origin, UnknownStream):
            self._trace.origin_source = origin.detail
            detail = f"software version of the stream is unknown: {origin.detail}"
            return _not_run(detail, left_ms)
        self._trace.origin_software = origin.software
        self._trace.origin_source = origin.source
        self._progress.software = origin.software
        self.is_bound = origin.has_others
        return None

    def software(self) -> frozenset[str] | None:
        """Return the software versions at which the next send may run, None for any.

        A stream that has begun goes on at its version. A new one begins only at a
        version that is stored, so that it is known after a loss of all nodes.
        """
        if self._progress.software is not None:
            return frozenset((self._progress.software,))
        if not self._is_stream:
            return None
        return self._deps.streams.begins_at(self._allowed.service)

    async def _wait_to_begin(self, left_ms: float) -> NotRun | None:
        service = self._allowed.service
        limit_ms = MAX_WAIT_SHARE * left_ms
        if await self._deps.streams.until_may_begin(service, limit_ms):
            return None
        return _not_run("no software version of the replicas is stored yet", left_ms)

    def on_begun(self, replica: ReplicaState) -> None:
        """Record the version of a stream whose first event is about to be forwarded."""
        if self._progress.software is not None:
            return
        software = replica.entry.software
        self._progress.software = software
        if self._is_stream and self._caller.last_event_id is None:
            self._deps.streams.on_begun(
                self._allowed.service, self._account, self._caller.request_id, software
            )

    async def confirm(
        self, connection: HttpConnection, replica: ReplicaState, left_ms: float
    ) -> HttpConnection | NotConnected:
        """Return the connection if the software there is the listed one.

        The list of replicas may be behind: another incarnation, with other software,
        may listen at the replica's address under its name. A connection leads to the
        same process until it ends, so each is confirmed once. A new stream needs that
        only while replicas of several versions serve.
        """
        entry = replica.entry
        if not self._needs_confirmation() or not entry.started_ms:
            return connection
        if connection.confirmed_peer == replica.incarnation_id:
            return connection
        is_same = await is_incarnation(
            connection,
            entry,
            clock=self._deps.clock,
            limit_ms=min(_REPORT_LIMIT_MS, left_ms),
            memory=self._deps.pool.memory,
        )
        if is_same:
            connection.confirmed_peer = replica.incarnation_id
            return connection
        has_answered = connection.is_usable
        self._deps.pool.release(connection)
        return NotConnected(
            f"{entry.incarnation} was not confirmed at {entry.address}",
            is_refused=has_answered,
        )

    def _needs_confirmation(self) -> bool:
        if self._progress.software is not None:
            return True
        streams = self._deps.streams
        return self._is_stream and streams.has_several_versions(self._allowed.service)

    @property
    def _is_stream(self) -> bool:
        route = self._allowed.route
        return route.kind is RouteKind.STREAM and route.is_resumable


def _not_run(detail: str, left_ms: float) -> NotRun:
    retry_after_ms = bounded_retry_after_ms(
        _RETRY_AFTER_MS,
        min_ms=SHORTEST_RETRY_AFTER_MS,
        max_ms=MAX_WAIT_SHARE * left_ms,
    )
    return NotRun(Reason.NO_UPSTREAM, detail, retry_after_ms)
