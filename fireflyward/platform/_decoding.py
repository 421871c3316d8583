"""Reading what others wrote: a value of the wanted type, or nothing."""

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decoded(value: bytes, kind: type[T]) -> T | None:
    """Decode JSON into ``kind``; None for bytes that are nothing of that kind.

    Rows and answers may come from writers that this system does not know. An error
    that got past the adapter would end the process in which it is read, and with it
    every process, since all read the same.

    >>> decoded(b'[1, 2]', list[int]), decoded(b'{"a"', list[int])
    ([1, 2], None)
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
