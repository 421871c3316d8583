"""Messages between nodes: Thrift in authenticated frames over UDP and TCP."""

from ._codec import PeerCodec, pack, unpack
from ._incarnation import new_incarnation
from ._link import Address, CallFailed, PeerLink
from ._node_structs import Envelope
from ._streams import OpenedStream, StreamReply

__all__ = [
    "Address",
    "CallFailed",
    "Envelope",
    "OpenedStream",
    "PeerCodec",
    "PeerLink",
    "StreamReply",
    "new_incarnation",
    "pack",
    "unpack",
]
