"""Frames between nodes: a tag that proves the key, then a Thrift envelope."""

import hashlib
import hmac
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TPayload
from thriftpy2.utils import deserialize, serialize

from ._node_structs import Envelope

TAG_BYTES = 16
MAX_FRAME_BYTES = 4 << 20
_FACTORY = TCyBinaryProtocolFactory()
_OPEN_KEY = b"\0" * TAG_BYTES


def pack(struct: Any) -> bytes:
    """Encode a Thrift struct."""
    return serialize(struct, _FACTORY)


def unpack(struct_type: type, body: bytes) -> Any | None:
    """Decode a Thrift struct; None when the bytes are not a whole one.

    The decoder itself leaves a required field that did not come as None. A
    handler that trusted the definition would then fail far from the cause.
    """
    try:
        struct = deserialize(struct_type(), body, _FACTORY)
    except Exception:  # The decoder raises many types on foreign bytes.
        return None
    return struct if _is_whole(struct) else None


def _is_whole(value: Any) -> bool:
    if isinstance(value, list):
        # Items of a list have one type, so that the first tells of all.
        is_plain = not value or not isinstance(value[0], list | TPayload)
        return is_plain or all(map(_is_whole, value))
    if not isinstance(value, TPayload):
        return True
    for spec in value.thrift_spec.values():
        field = getattr(value, spec[1])
        if field is None and spec[-1]:
            return False
        if isinstance(field, list | TPayload) and not _is_whole(field):
            return False
    return True


class PeerCodec:
    """Seals envelopes with the first key and opens those of either key.

    While keys are rotated nodes hold two. A frame whose tag fits neither is
    dropped, so a stranger on the network can neither speak nor be answered.
    """

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys or (_OPEN_KEY,)

    @property
    def is_open(self) -> bool:
        """Tell whether no key was given, so that anybody can make a frame."""
        return self._keys == (_OPEN_KEY,)

    def rotate_key(self, key: bytes) -> None:
        """Seal with another key from now on; frames of the last one still open."""
        if key != self._keys[0]:
            self._keys = (key, self._keys[0])

    def seal(self, envelope: Any) -> bytes:
        """Return the frame of an envelope."""
        payload = pack(envelope)
        return _tag(self._keys[0], payload) + payload

    def open(self, frame: bytes) -> Any | None:
        """Return the envelope of a frame, or None if it is not a peer's."""
        if not TAG_BYTES < len(frame) <= MAX_FRAME_BYTES:
            return None
        tag, payload = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(key, payload)) for key in self._keys):
            return None
        return unpack(Envelope, payload)


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key[:64], digest_size=TAG_BYTES).digest()
