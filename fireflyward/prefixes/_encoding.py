"""Converts the events of a store to and from the structs that nodes exchange."""

from typing import Any

from ._index import KvEvent, KvUpdate, PartKey
from ._prefixes_structs import StoreEvents


def encode(address: str, update: KvUpdate) -> Any:
    """Return an update of a store as a struct, which contains each salt once."""
    salts = list({event.key.salt: None for event in update.events})
    number_by_salt = {salt: number for number, salt in enumerate(salts)}
    return StoreEvents(
        address=address,
        epoch=update.epoch,
        since=update.since,
        next_event=update.next_event,
        salts=salts,
        salt_of=[number_by_salt[event.key.salt] for event in update.events],
        part_ids=[event.key.part_id for event in update.events],
        tokens=[event.tokens for event in update.events],
    )


def decode(
    struct: Any, *, is_snapshot: bool = False, has_gap: bool = False
) -> KvUpdate | None:
    """Return the update that a struct contains, None if it is malformed."""
    columns = (struct.salt_of, struct.part_ids, struct.tokens)
    is_even = len({len(column) for column in columns}) == 1
    salts = range(len(struct.salts))
    if not is_even or not all(salt in salts for salt in struct.salt_of):
        return None
    if min(struct.since, struct.next_event, *struct.tokens) < 0:
        return None
    events = tuple(
        KvEvent(PartKey(struct.salts[salt], part_id), tokens)
        for salt, part_id, tokens in zip(*columns, strict=True)
    )
    return KvUpdate(
        struct.epoch,
        events,
        struct.next_event,
        since=struct.since,
        is_snapshot=is_snapshot,
        has_gap=has_gap,
    )
