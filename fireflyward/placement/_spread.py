"""Decides which store keeps which pieces."""

from dataclasses import replace

from fireflyward.rendezvous import rendezvous_rank

from ._keep import KeepOffer

_SECOND_COPY_VALUE = 0.02


def preferred_store(key: str, stores: tuple[str, ...]) -> str:
    """Return the preferred store of a key by rendezvous hashing.

    All nodes calculate the same store without messages. If a store is added or
    removed, only the keys that it has or had are assigned to another store.

    >>> preferred_store("00ff", ("store-a",))
    'store-a'
    """
    return max(stores, key=lambda name: rendezvous_rank(key, name))


def assign_stores(
    offers: list[KeepOffer], block_keys: tuple[str, ...], stores: tuple[str, ...]
) -> list[tuple[str, KeepOffer]]:
    """Return each offer with the store to which it is written.

    All pieces of a prompt are written to its preferred store, so that one import loads
    them. Shared pieces are also written to the other stores, for prompts that prefer
    another store and in case a store fails. A second copy saves far less than the
    first; its lower value makes it the first to be evicted when a store is full.
    """
    if not stores:
        return []
    preferred = preferred_store(anchor_key(block_keys), stores)
    placed = []
    for offer in offers:
        placed.append((preferred, offer))
        if offer.is_shared:
            copy = replace(offer, reuses=offer.reuses * _SECOND_COPY_VALUE)
            placed += [(name, copy) for name in stores if name != preferred]
    return placed


def anchor_key(block_keys: tuple[str, ...]) -> str:
    """Return the key that determines the preferred store of a prompt.

    It is the key at a power of two between three eighths and three quarters of the
    prompt: after the clauses that many documents share and before the question. For
    all questions about one document it is nearly always the same key.
    """
    if not block_keys:
        return ""
    reach = max(1, len(block_keys) * 3 // 4)
    return block_keys[(1 << (reach.bit_length() - 1)) - 1]
