"""Opens listening sockets at addresses that may still be in use."""

import errno
import logging
import os
from collections.abc import Awaitable, Callable
from typing import TypeVar

from fireflyward.clock import Clock

log = logging.getLogger("fireflyward.process")

T = TypeVar("T")

# The last process of a VM may hold its addresses until its planned stop is over.
_LISTEN_TIMEOUT_MS = 10_000
_LISTEN_PAUSE_MS = 100
# The address of a VM may be assigned only after the process was started.
_TEMPORARY_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


class CannotListen(Exception):
    """A process cannot listen at an address that it cannot do without."""


async def listen_when_free(
    purpose: str,
    address: str,
    open_listener: Callable[[], Awaitable[T]],
    *,
    clock: Clock,
    timeout_ms: int = _LISTEN_TIMEOUT_MS,
) -> T:
    """Return what ``open_listener`` returns, once the address is free.

    ``purpose`` names the address in the log, such as "callers". Raise ``CannotListen``
    if the address is still in use after ``timeout_ms``, or cannot be listened at.
    """
    began_ms = clock.now_ms()
    is_retry = False
    while True:
        try:
            listener = await open_listener()
        except OSError as error:
            reason = f"cannot listen at {address} ({purpose}): {describe_error(error)}"
            passed_ms = clock.now_ms() - began_ms
            if error.errno not in _TEMPORARY_ERRORS or passed_ms >= timeout_ms:
                raise CannotListen(reason) from error
            if not is_retry:
                log.warning("process: %s; trying for %d ms", reason, timeout_ms)
            is_retry = True
            await clock.sleep_ms(_LISTEN_PAUSE_MS)
            continue
        if is_retry:
            waited_ms = clock.now_ms() - began_ms
            log.info("process: listens at %s after %d ms", address, waited_ms)
        return listener


def describe_error(error: OSError) -> str:
    """Return the system's text, without what asyncio adds to it.

    >>> describe_error(OSError(errno.EADDRINUSE, "error while attempting to bind"))
    'Address already in use'
    """
    if error.errno is None or error.errno < 0:
        return str(error)
    return os.strerror(error.errno)
