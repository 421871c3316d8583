"""Events of a store as the structs that go between nodes."""

from typing import Any

from ._index import KvEvent, KvUpdate, PartKey
from ._prefixes_structs import StoreEvents


def encoded(address: str, news: KvUpdate) -> Any:
    """Return news of a store as a struct; each salt is written once."""
    salts = list({event.key.salt: None for event in news.events})
    number_by_salt = {salt: number for number, salt in enumerate(salts)}
    return StoreEvents(
        address=address,
        epoch=news.epoch,
        since=news.since,
        next_event=news.next_event,
        salts=salts,
        salt_of=[number_by_salt[event.key.salt] for event in news.events],
        part_ids=[event.key.part_id for event in news.events],
        tokens=[event.tokens for event in news.events],
    )


def decoded(told: Any, *, is_snapshot: bool = False, has_gap: bool = False) -> KvUpdate:
    """Return the news of a struct."""
    events = tuple(
        KvEvent(PartKey(told.salts[salt], part_id), tokens)
        for salt, part_id, tokens in zip(
            told.salt_of, told.part_ids, told.tokens, strict=True
        )
    )
    return KvUpdate(
        told.epoch,
        events,
        told.next_event,
        since=told.since,
        is_snapshot=is_snapshot,
        has_gap=has_gap,
    )
