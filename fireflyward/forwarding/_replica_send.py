"""One send of a request to one replica, over an open connection."""

from collections.abc import Callable

from fireflyward.http1 import HttpConnection
from fireflyward.platform import (
    CallerRequest,
    ReplicaHeaders,
    encode_request,
    named_request,
)
from fireflyward.replicas import Choice, SharedPrefix

from ._dependencies import Dependencies
from ._exchange import Exchange, Reply, StreamProgress
from ._messages import NotRunThere, SendResult, Superseded
from ._pending_prefill import PendingPrefill
from ._silence_watch import WatchedSend


class ReplicaSend:
    """Sends a request to one replica and reads its response.

    The request's resident tokens and unprefilled tokens are counted at the replica
    while the send lasts, and released once, however it ends.
    """

    __slots__ = (
        "_choice",
        "_claim",
        "_connection",
        "_deps",
        "_on_first_data",
        "_overdue_ms",
        "_peak_tokens",
        "_has_begun",
        "_prefill",
        "_route",
        "_shared_prefix",
        "_watched",
        "sent_ms",
    )

    def __init__(
        self,
        deps: Dependencies,
        connection: HttpConnection,
        choice: Choice,
        *,
        unprefilled_tokens: int,
        peak_tokens: int,
        shared_prefix: SharedPrefix | None,
        route: str,
        claim: Callable[[], bool],
        on_first_data: Callable[[int], None],
        on_unresponsive: Callable[[], None] | None,
    ) -> None:
        """``on_first_data`` gets the time from the send to the first stream data.

        ``claim`` is called when a usable response begins. If it returns False, another
        response has begun, and nothing of this one is forwarded.
        """
        self._deps = deps
        self._connection = connection
        self._choice = choice
        self._on_first_data = on_first_data
        self._peak_tokens = peak_tokens
        self._prefill = PendingPrefill(choice.replica, unprefilled_tokens)
        self._shared_prefix = shared_prefix
        choice.replica.on_run_resident(peak_tokens, shared_prefix)
        self.sent_ms = deps.clock.now_ms()
        choice.replica.on_cold_sent(self.sent_ms)
        self._route = route
        self._claim = claim
        self._has_begun = False
        self._overdue_ms = deps.hedging.times.overdue_ms(route, choice.first_token_ms)
        self._watched: WatchedSend = deps.watch.begin(
            choice.replica, self._overdue_ms, on_unresponsive
        )

    async def run(
        self,
        caller: CallerRequest,
        headers: ReplicaHeaders,
        body: bytes,
        *,
        due_ms: float,
        is_stream: bool,
        may_repeat: bool,
        progress: StreamProgress,
        reply: Reply,
        on_begun: Callable[[], None],
        on_pause: Callable[[float], None],
        on_weights: Callable[[int | None], None],
    ) -> SendResult | NotRunThere | Superseded:
        """Write the request, and read the response until it ends or fails.

        ``on_begun`` is called before the caller gets the first event of its stream,
        ``on_weights`` with the version of the weights that a response names.
        """
        replica = self._choice.replica

        def handle_pause(pause_ms: float) -> None:
            on_pause(pause_ms)
            self._deps.speeds.on_pause(replica, pause_ms)

        try:
            self._connection.send(
                caller.method,
                caller.target,
                encode_request(caller, headers),
                body,
                request_id=caller.request_id,
                named_by=named_request,
            )
            exchange = Exchange(
                self._connection,
                clock=self._deps.clock,
                pool=self._deps.pool,
                replica=replica,
                notices=self._deps.notices,
                speeds=self._deps.speeds,
                request_id=caller.request_id,
                due_ms=due_ms,
                is_stream=is_stream,
                max_output_tokens=caller.max_output_tokens,
                progress=progress,
                reply=reply,
                on_begun=on_begun,
                on_event=self._watched.on_bytes,
                claim=self._begin,
                on_first_data=self._handle_first_data,
                on_pause=handle_pause,
                on_weights=on_weights,
            )
            if not may_repeat:
                return await exchange.read()
            with self._deps.reach.awaiting(replica, self._connection):
                return await exchange.read()
        except BaseException:
            # The caller has disconnected, or another response has begun. The replica
            # stops its work once the connection is closed.
            self._connection.close()
            if not self._has_begun and self._is_overdue():
                self._record_time()
                self._watched.give_up()
            raise
        finally:
            self._watched.end()
            replica.on_run_gone(self._peak_tokens, self._shared_prefix)
            self._prefill.release()

    def _handle_first_data(self) -> None:
        self._prefill.release()
        self._on_first_data(self._took_ms())

    def _begin(self) -> bool:
        self._watched.end()
        if not self._claim():
            return False
        self._has_begun = True
        self._record_time()
        return True

    def _record_time(self) -> None:
        """Record the time until the response began, or until a slow send was ended."""
        expected_ms = self._choice.first_token_ms
        self._deps.hedging.times.on_begun(self._route, expected_ms, self._took_ms())

    def _is_overdue(self) -> bool:
        return self._overdue_ms is not None and self._took_ms() >= self._overdue_ms

    def _took_ms(self) -> int:
        return self._deps.clock.now_ms() - self.sent_ms
