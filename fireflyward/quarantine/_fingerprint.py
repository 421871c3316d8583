"""What two requests have in common when a caller asks the same again."""

import hashlib

_DIGEST_BYTES = 8


def fingerprint_of(account: str, target: str, body: bytes) -> str:
    """Return a name for what is asked, alike on every node and for each repeat.

    The id of a request is new each time it comes, so it cannot tell that a replica
    ran the same work before. ``target`` is path and query.

    >>> fingerprint_of("acme", "/r/x", b"") == fingerprint_of("acme", "/r/x", b"")
    True
    >>> fingerprint_of("acme", "/r/x", b"") == fingerprint_of("other", "/r/x", b"")
    False
    """
    head = f"{len(account)} {account}{target}\0".encode()
    digest = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
