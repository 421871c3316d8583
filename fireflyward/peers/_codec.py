"""Frames between nodes: an authentication tag followed by a Thrift envelope."""

import hashlib
import hmac
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TPayload
from thriftpy2.utils import deserialize, serialize

from ._node_structs import Envelope

TAG_BYTES = 16
MAX_FRAME_BYTES = 4 << 20
_PROTOCOL_FACTORY = TCyBinaryProtocolFactory()
_ZERO_KEY = b"\0" * TAG_BYTES


def pack(struct: Any) -> bytes:
    """Encode a Thrift struct."""
    return serialize(struct, _PROTOCOL_FACTORY)


def unpack(struct_type: type, body: bytes) -> Any | None:
    """Decode a Thrift struct; return None if the bytes are not a complete struct.

    The decoder leaves a missing required field as None. A handler that relies on
    the definition would then fail far from the cause, so such a struct is rejected
    here.
    """
    try:
        struct = deserialize(struct_type(), body, _PROTOCOL_FACTORY)
    except Exception:  # The decoder raises many types on malformed input.
        return None
    return struct if _is_complete(struct) else None


def _is_complete(value: Any) -> bool:
    if isinstance(value, list):
        # All items of a list have the same type, so checking the first is enough.
        is_plain = not value or not isinstance(value[0], list | TPayload)
        return is_plain or all(map(_is_complete, value))
    if not isinstance(value, TPayload):
        return True
    for spec in value.thrift_spec.values():
        field = getattr(value, spec[1])
        if field is None and spec[-1]:
            return False
        if isinstance(field, list | TPayload) and not _is_complete(field):
            return False
    return True


class PeerCodec:
    """Signs envelopes with the first key and accepts frames signed with any key.

    Nodes hold two keys while a key is rotated. A frame whose tag matches no key is
    dropped, so a process without a key can neither send messages nor get replies.
    """

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys or (_ZERO_KEY,)

    @property
    def is_unauthenticated(self) -> bool:
        """Return whether no key was given, so that any process can sign a frame."""
        return self._keys == (_ZERO_KEY,)

    def rotate_key(self, key: bytes) -> None:
        """Sign with ``key`` from now on; frames signed with the last key stay valid."""
        if key != self._keys[0]:
            self._keys = (key, self._keys[0])

    def seal(self, envelope: Any) -> bytes:
        """Encode and sign an envelope."""
        payload = pack(envelope)
        return _tag(self._keys[0], payload) + payload

    def open(self, frame: bytes) -> Any | None:
        """Return the envelope of a frame, or None if its tag or content is invalid."""
        if not TAG_BYTES < len(frame) <= MAX_FRAME_BYTES:
            return None
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(key, payload)) for key in self._keys):
            return None
        return unpack(Envelope, payload)


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key[:64], digest_size=TAG_BYTES).digest()
