"""Messages between nodes: Thrift in authenticated frames over UDP and TCP."""

from ._codec import Envelope, PeerCodec, load_structs, pack, unpack
from ._link import Address, CallFailed, PeerLink

__all__ = [
    "Address",
    "CallFailed",
    "Envelope",
    "PeerCodec",
    "PeerLink",
    "load_structs",
    "pack",
    "unpack",
]
