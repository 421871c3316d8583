"""Decodes JSON from other writers, without raising on malformed input."""

from typing import TypeVar

import msgspec

T = TypeVar("T")
# What decoding bytes raises; nesting that is too deep is no error of msgspec.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def decode_json(value: bytes, kind: type[T]) -> T | None:
    """Decode JSON into ``kind``; return None if the bytes don't match that type.

    Rows and responses may come from writers outside this system. An exception that
    got past the adapter would crash the process that reads them, and so every
    process, since all processes read the same rows.

    >>> decode_json(b'[1, 2]', list[int]), decode_json(b'{"a"', list[int])
    ([1, 2], None)
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except DECODE_ERRORS:
        return None
