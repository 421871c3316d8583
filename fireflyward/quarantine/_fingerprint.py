"""The fingerprint of a request, equal for each repetition of the request."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def fingerprint_of(
    account: str,
    target: str,
    body: bytes,
    *,
    model: str = "",
    parts: Iterable[str] = (),
) -> str:
    """Return a digest of a request, equal on every node and for each repetition.

    The id of a request is new each time it is repeated, so it does not show that a
    replica ran the same work before. ``target`` is the path with the query. ``parts``
    are the ids of its prompt's parts: prompts may differ in nothing else.

    >>> fingerprint_of("acme", "/r/x", b"") == fingerprint_of("acme", "/r/x", b"")
    True
    >>> fingerprint_of("acme", "/r/x", b"") == fingerprint_of("other", "/r/x", b"")
    False
    """
    head = f"{len(account)} {account}{target}\0".encode()
    digest = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    for text in (model, *parts):
        digest.update(f"{len(text)} {text}".encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
