"""The fingerprint of a request, equal for each repetition of the request."""

import hashlib

_DIGEST_BYTES = 8


def fingerprint_of(account: str, target: str, body: bytes) -> str:
    """Return a digest of a request, equal on every node and for each repetition.

    The id of a request is new each time it is repeated, so it does not show that a
    replica ran the same work before. ``target`` is the path with the query.

    >>> fingerprint_of("acme", "/r/x", b"") == fingerprint_of("acme", "/r/x", b"")
    True
    >>> fingerprint_of("acme", "/r/x", b"") == fingerprint_of("other", "/r/x", b"")
    False
    """
    head = f"{len(account)} {account}{target}\0".encode()
    digest = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
