"""Computes the rank of a name for a key."""

import hashlib

_DIGEST_BYTES = 8


def rendezvous_rank(key: str, name: str) -> int:
    """Return the rank of ``name`` for ``key``.

    The caller ranks all names and uses the one with the lowest or the highest rank.
    Every node computes the same ranks, so nodes agree without exchanging messages. When
    a name is added or removed, only the keys assigned to this name move.

    >>> rendezvous_rank("key", "a") == rendezvous_rank("key", "a")
    True
    """
    data = f"{key}\0{name}".encode()
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
