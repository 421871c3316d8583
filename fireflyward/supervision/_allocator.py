"""Lets the C library's allocator return freed memory to the system."""

import ctypes
import logging

log = logging.getLogger("fireflyward.process")

# Larger blocks, which are bodies of requests and responses, are mapped one by one and
# unmapped when they are freed. Reads from sockets allocate 256 KiB and stay below.
_MAPPED_BYTES = 512 << 10
# Free memory at the end of the heap that is kept for the next allocations.
_KEPT_BYTES = 1 << 20
# From malloc.h.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def return_freed_memory() -> bool:
    """Fix the sizes from which freed memory is returned; return whether that worked.

    By default glibc raises both with the size of what is freed, up to 64 MiB. Bodies
    are then allocated in the heap, where a few small objects after them keep the
    process at the size of its largest burst.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    is_fixed = mallopt is not None and all(
        (
            mallopt(_M_MMAP_THRESHOLD, _MAPPED_BYTES),
            mallopt(_M_TRIM_THRESHOLD, _KEPT_BYTES),
        )
    )
    if not is_fixed:
        log.info("process: the allocator's thresholds cannot be set")
    return is_fixed
