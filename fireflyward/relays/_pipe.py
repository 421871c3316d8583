"""Copies the bytes of one tunnel between a node and a replica."""

import asyncio
import enum
import socket
from collections.abc import Callable

from fireflyward.http1 import enable_dead_peer_detection

from ._frames import Control, control_frame, data_header


class PipeEnd(enum.StrEnum):
    """Why a pipe has ended."""

    NODE_CLOSED = "closed by the node"
    REPLICA_CLOSED = "closed by the replica"
    REPLICA_LOST = "connection to the replica lost"
    ABANDONED = "not taken over"
    STOPPED = "this node stopped"


class Pipe:
    """The two connections of a tunnel at the relay.

    Bytes to the replica are passed on as they are, bytes to the node in frames. An end
    that does not read stops the other one: at most the buffers of two transports and
    one read are held for it.
    """

    __slots__ = (
        "_node",
        "_on_end",
        "_replica",
        "_writer",
        "bytes_from_replica",
        "bytes_to_replica",
        "end",
    )

    def __init__(self, on_end: Callable[["Pipe"], None]) -> None:
        self._on_end = on_end
        self._node: asyncio.Transport | None = None
        self._replica: asyncio.Transport | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.bytes_from_replica = 0
        self.bytes_to_replica = 0
        self.end: PipeEnd | None = None

    def replica_protocol(self) -> asyncio.Protocol:
        """Return the protocol of the connection to the replica."""
        return _ReplicaSide(self)

    def take_over(self, writer: asyncio.StreamWriter) -> None:
        """Connect the node's end; the writer must live as long as its transport."""
        self._writer = writer
        self._node = writer.transport
        _detect_dead_peer(self._node)
        self._node.set_protocol(_NodeSide(self))
        if self.end is not None:
            self._node.write(control_frame(Control.LOST))
            self._node.close()

    def announce_closing(self) -> None:
        """Ask the node to send no further request through this pipe."""
        if self._node is not None:
            self._node.write(control_frame(Control.CLOSING))

    def stop(self, end: PipeEnd) -> None:
        """Break both connections."""
        self._finish(end)
        for transport in (self._node, self._replica):
            if transport is not None:
                transport.abort()

    def on_replica_connected(self, transport: asyncio.Transport) -> None:
        self._replica = transport
        _detect_dead_peer(transport)

    def on_replica_data(self, data: bytes) -> None:
        if self._node is None:
            # A replica says nothing before a request, so these bytes answer none.
            self.stop(PipeEnd.REPLICA_LOST)
            return
        self.bytes_from_replica += len(data)
        self._node.writelines((data_header(len(data)), data))

    def on_replica_end(self, *, is_complete: bool) -> None:
        if self._node is not None and self.end is None:
            control = Control.END if is_complete else Control.LOST
            self._node.write(control_frame(control))
            self._node.close()
        lost, closed = PipeEnd.REPLICA_LOST, PipeEnd.REPLICA_CLOSED
        self._finish(closed if is_complete else lost)

    def on_node_data(self, data: bytes) -> None:
        self.bytes_to_replica += len(data)
        self._replica.write(data)

    def on_node_end(self) -> None:
        """Break the replica's connection, so that it stops its work at once."""
        self._finish(PipeEnd.NODE_CLOSED)
        self._replica.abort()

    def set_node_reading(self, *, is_reading: bool) -> None:
        _set_reading(self._node, is_reading)

    def set_replica_reading(self, *, is_reading: bool) -> None:
        _set_reading(self._replica, is_reading)

    def _finish(self, end: PipeEnd) -> None:
        if self.end is None:
            self.end = end
            self._on_end(self)


class _ReplicaSide(asyncio.Protocol):
    def __init__(self, pipe: Pipe) -> None:
        self._pipe = pipe

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._pipe.on_replica_connected(transport)

    def data_received(self, data: bytes) -> None:
        self._pipe.on_replica_data(data)

    def eof_received(self) -> bool:
        self._pipe.on_replica_end(is_complete=True)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._pipe.on_replica_end(is_complete=False)

    def pause_writing(self) -> None:
        self._pipe.set_node_reading(is_reading=False)

    def resume_writing(self) -> None:
        self._pipe.set_node_reading(is_reading=True)


class _NodeSide(asyncio.Protocol):
    def __init__(self, pipe: Pipe) -> None:
        self._pipe = pipe

    def data_received(self, data: bytes) -> None:
        self._pipe.on_node_data(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._pipe.on_node_end()

    def pause_writing(self) -> None:
        self._pipe.set_replica_reading(is_reading=False)

    def resume_writing(self) -> None:
        self._pipe.set_replica_reading(is_reading=True)


def _set_reading(transport: asyncio.Transport | None, is_reading: bool) -> None:
    if transport is None or transport.is_closing():
        return
    if is_reading:
        transport.resume_reading()
    else:
        transport.pause_reading()


def _detect_dead_peer(transport: asyncio.Transport) -> None:
    raw = transport.get_extra_info("socket")
    if raw is not None and raw.family == socket.AF_INET:
        enable_dead_peer_detection(raw)
