"""Decoding of bytes from other writers into bounded types, without exceptions."""

from ._addresses import ReplicaAddress
from ._json import decode_json
from ._numbers import NonNegativeNumber, to_int

__all__ = ["NonNegativeNumber", "ReplicaAddress", "decode_json", "to_int"]
