"""Makes sure that the standard streams of a process are open."""

import errno
import os

_STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_streams() -> None:
    """Open the null device in place of standard streams that are closed.

    The next file or socket would get the descriptor of the closed stream, and the log
    or an error message would be written into it.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError as error:
            if error.errno != errno.EBADF:
                raise
            # This is the lowest free descriptor.
            os.open(os.devnull, os.O_RDWR)
