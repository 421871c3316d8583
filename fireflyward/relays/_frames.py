"""The frames in which a relay passes on a replica's bytes.

A plain copy of the bytes would not show how a connection ended: if the relay's process
is killed, its kernel ends the connection in order, as it does after the last byte of
the replica, and a response without a length would look complete. So the bytes carry
their length, and the end of the replica's connection is a frame of its own.
"""

import enum
import struct
from collections.abc import Iterator

_HEADER = struct.Struct("!I")
_MAX_DATA_BYTES = 1 << 24


class Control(enum.IntEnum):
    """A frame without data.

    ``END``: the replica has sent its last byte. ``LOST``: the connection to the replica
    broke. ``CLOSING``: the relay stops; no further request may be sent.
    """

    END = 0
    LOST = 0xFFFF_FFFE
    CLOSING = 0xFFFF_FFFF


def data_header(size: int) -> bytes:
    """Return the bytes that precede ``size`` bytes of data."""
    return _HEADER.pack(size)


def control_frame(control: Control) -> bytes:
    """Return the bytes of a control frame.

    >>> control_frame(Control.CLOSING).hex()
    'ffffffff'
    """
    return _HEADER.pack(control)


class FrameDecoder:
    """Splits received bytes into data and control frames.

    Data is returned as it arrives, also in parts of a frame.

    >>> list(FrameDecoder().feed(data_header(2) + b"ab" + control_frame(Control.END)))
    [b'ab', <Control.END: 0>]
    """

    __slots__ = ("_header", "_left")

    def __init__(self) -> None:
        self._header = b""
        self._left = 0

    def feed(self, data: bytes) -> Iterator[bytes | Control]:
        """Return what the next bytes contain; raise ``ValueError`` if malformed."""
        start = 0
        while start < len(data):
            if self._left:
                part = data[start : start + self._left]
                self._left -= len(part)
                start += len(part)
                yield part
                continue
            taken = data[start : start + _HEADER.size - len(self._header)]
            self._header += taken
            start += len(taken)
            if len(self._header) == _HEADER.size:
                (value,) = _HEADER.unpack(self._header)
                self._header = b""
                if 0 < value <= _MAX_DATA_BYTES:
                    self._left = value
                else:
                    yield Control(value)
