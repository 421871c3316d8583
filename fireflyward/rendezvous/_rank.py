"""The rank of a name for a key."""

import hashlib

_DIGEST_BYTES = 8


def rendezvous_rank(key: str, name: str) -> int:
    """Return the rank of ``name`` for ``key``; callers take the first or the last.

    Every node computes the same, so nodes agree without a message, and one name
    that comes or goes moves only the keys that it holds.

    >>> rendezvous_rank("key", "a") == rendezvous_rank("key", "a")
    True
    """
    data = f"{key}\0{name}".encode()
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
