"""The methods of other packages that a request calls."""

from collections.abc import Container
from contextlib import AbstractContextManager
from typing import Protocol

from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.platform import ResponseFacts
from fireflyward.quarantine import Free, Held, Trial
from fireflyward.replicas import ReplicaState
from fireflyward.streams import StreamOrigin


class QuarantineGate(Protocol):
    """The quarantine's methods that a request calls; see ``quarantine.Quarantine``."""

    async def admit(self, fingerprint: str) -> Free | Held | Trial: ...

    def end_trial(
        self, trial: Trial, *, was_sent: bool, begun_at: ReplicaState | None
    ) -> None: ...

    def on_cut(
        self, fingerprint: str, replica: ReplicaState, *, is_late: bool
    ) -> None: ...

    def on_refused(self, replica: ReplicaState) -> None: ...

    def on_answered(self, fingerprint: str) -> None: ...


class Reach(Protocol):
    """Receives reports of unreachable replicas; see ``reach.ReachTask``."""

    def on_silent(self, replica: ReplicaState) -> None: ...

    def awaiting(
        self, replica: ReplicaState, connection: HttpConnection
    ) -> AbstractContextManager[None]: ...


class Connections(Protocol):
    """Opens connections to replicas; see ``relays.Connector``."""

    def has_path(self, replica: ReplicaState) -> bool: ...

    async def connect(
        self,
        replica: ReplicaState,
        *,
        connect_ms: float,
        limit_ms: float,
        fresh: bool,
        without: Container[HttpConnection] = (),
    ) -> HttpConnection | NotConnected: ...


class DirectConnections:
    """Opens connections to replicas directly."""

    __slots__ = ("_pool",)

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def has_path(self, replica: ReplicaState) -> bool:
        """Return True; whether the replica can be reached is not known."""
        return True

    async def connect(
        self,
        replica: ReplicaState,
        *,
        connect_ms: float,
        limit_ms: float,
        fresh: bool,
        without: Container[HttpConnection] = (),
    ) -> HttpConnection | NotConnected:
        """Return a connection on which a request can be sent."""
        return await self._pool.acquire(
            replica.entry.address,
            connect_ms=min(connect_ms, limit_ms),
            fresh=fresh,
            without=without,
        )


class Streams(Protocol):
    """Knows where streams began; see ``streams.StreamTask``."""

    def on_begun(
        self, service: str, account: str, request_id: str, software: str
    ) -> None: ...

    async def find(
        self, service: str, account: str, first_request_id: str | None
    ) -> StreamOrigin | None: ...

    def has_several_versions(self, service: str) -> bool: ...

    def begins_at(self, service: str) -> frozenset[str] | None: ...

    async def until_may_begin(self, service: str, limit_ms: float) -> bool: ...


class NoStreams:
    """Takes all replicas for alike."""

    __slots__ = ()

    def on_begun(
        self, service: str, account: str, request_id: str, software: str
    ) -> None:
        """Ignore the begin of a stream."""

    async def find(
        self, service: str, account: str, first_request_id: str | None
    ) -> StreamOrigin | None:
        """Return None: the stream may go on at any replica."""
        return None

    def has_several_versions(self, service: str) -> bool:
        """Return False."""
        return False

    def begins_at(self, service: str) -> frozenset[str] | None:
        """Return None: a stream may begin at any replica."""
        return None

    async def until_may_begin(self, service: str, limit_ms: float) -> bool:
        """Return True."""
        return True


class Notices(Protocol):
    """Receives facts about replicas from responses; see ``notices.NoticeTask``."""

    def on_response(
        self, replica: ReplicaState, facts: ResponseFacts, *, sent_ms: int
    ) -> None: ...


class Speeds(Protocol):
    """Receives the speeds of replicas from responses; see ``speeds.SpeedTask``."""

    def on_response(self, replica: ReplicaState, facts: ResponseFacts) -> None: ...

    def on_pause(self, replica: ReplicaState, pause_ms: float) -> None: ...


class NoSpeeds:
    """Ignores the speeds of replicas."""

    __slots__ = ()

    def on_response(self, replica: ReplicaState, facts: ResponseFacts) -> None:
        """Ignore a response."""

    def on_pause(self, replica: ReplicaState, pause_ms: float) -> None:
        """Ignore a pause."""
