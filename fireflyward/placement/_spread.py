"""Which store keeps what."""

from dataclasses import replace

from fireflyward.rendezvous import rendezvous_rank

from ._keep import KeepOffer

_SECOND_COPY_WORTH = 0.02


def preferred_store(key: str, stores: tuple[str, ...]) -> str:
    """Return the store of a key by rendezvous hashing.

    Every node computes the same without a message, and a store that comes or goes
    moves only what it holds itself.

    >>> preferred_store("00ff", ("store-a",))
    'store-a'
    """
    return max(stores, key=lambda name: rendezvous_rank(key, name))


def assign_stores(
    offers: list[KeepOffer], block_keys: tuple[str, ...], stores: tuple[str, ...]
) -> list[tuple[str, KeepOffer]]:
    """Return which store each offer goes to.

    A prompt has one home store, so that one import loads it. Shared pieces go to
    the other stores, too, for prompts that have their home there and for the day a
    store dies; but a second copy saves far less than the first, so that it is the
    first to give way when a store is full.
    """
    if not stores:
        return []
    home = preferred_store(anchor_key(block_keys), stores)
    placed = []
    for offer in offers:
        placed.append((home, offer))
        if offer.is_shared:
            copy = replace(offer, reuses=offer.reuses * _SECOND_COPY_WORTH)
            placed += [(name, copy) for name in stores if name != home]
    return placed


def anchor_key(block_keys: tuple[str, ...]) -> str:
    """Return the key from which a prompt's home follows.

    It lies between three eighths and three quarters of the prompt, at a power of
    two: behind the clauses that many documents share, before the question, and for
    all questions about one document nearly always in the same place.
    """
    if not block_keys:
        return ""
    reach = max(1, len(block_keys) * 3 // 4)
    return block_keys[(1 << (reach.bit_length() - 1)) - 1]
