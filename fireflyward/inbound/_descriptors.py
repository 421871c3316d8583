"""How many descriptors this process may open."""

import resource


def usable_descriptors(reserved: int) -> int:
    """Return the limit of the process, less those that it needs for itself."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, soft - reserved)
