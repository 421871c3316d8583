"""Which store keeps what."""

import hashlib

from ._keep import KeepOffer

_DIGEST_BYTES = 8


def home_store(key: str, stores: tuple[str, ...]) -> str:
    """Return the store of a key by rendezvous hashing.

    Every node computes the same without a message, and a store that comes or goes
    moves only what it holds itself.

    >>> home_store("00ff", ("store-a",))
    'store-a'
    """
    return max(stores, key=lambda name: _rank(key, name))


def spread(
    offers: list[KeepOffer], stores: tuple[str, ...]
) -> list[tuple[str, KeepOffer]]:
    """Return which store each offer goes to.

    Shared pieces go to every store. The rest of a prompt goes to one, so that one
    import loads it; its home follows from its first piece that is not shared.
    """
    if not stores:
        return []
    own = [offer for offer in offers if not offer.is_shared]
    anchor = min(own, key=lambda offer: offer.piece.first, default=None)
    home = home_store(anchor.piece.key, stores) if anchor else ""
    placed = []
    for offer in offers:
        names = stores if offer.is_shared else (home,)
        placed += [(name, offer) for name in names]
    return placed


def _rank(key: str, name: str) -> bytes:
    data = f"{key}\0{name}".encode()
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
