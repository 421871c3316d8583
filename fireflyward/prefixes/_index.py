"""Tracks what one KV store holds, from the events that the store reports."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Stores allocate memory in blocks of this many tokens.
_BLOCK_TOKENS = 16
# A store that is filled to more than this share is considered full. The rest is
# reserved for what other nodes are saving at the same time.
_MAX_FILL_SHARE = 0.985
# A save for which no event has arrived after this long is considered lost.
_SAVE_TIMEOUT_MS = 4_000
_MAX_PENDING_SAVES = 500


@dataclass(frozen=True, slots=True)
class PartKey:
    """One part of a prompt under one salt."""

    salt: str
    part_id: str


@dataclass(frozen=True, slots=True)
class KvEvent:
    """A part is now complete in the store, or was freed (``tokens`` is 0)."""

    key: PartKey
    tokens: int


@dataclass(frozen=True, slots=True)
class KvUpdate:
    """Events of one epoch of a store, that is, between two restarts of the store.

    The events follow the event number ``since``, and ``next_event`` is the ``since`` of
    the next update. With ``is_snapshot`` the update lists all parts that the store
    holds. With ``has_gap`` the store no longer has some of the requested events.
    """

    epoch: int
    events: tuple[KvEvent, ...]
    next_event: int
    since: int = 0
    is_snapshot: bool = False
    has_gap: bool = False


class StoreIndex:
    """The parts that may be fetched from one store; no I/O.

    The index contains only parts that the store has reported as complete. A fetch of a
    part that is still being written returns garbage, and the store does not check for
    this. A store that has restarted is empty, so its index is cleared. Nothing is
    fetched from an unreachable store, because each such fetch would delay the caller by
    some hundred ms.

    Nor is anything fetched from ``valid_until_ms`` on. Once all nodes that run have
    detected a restart of the store, they save parts to it again. A node that stood
    still and has not detected it would fetch a part that is only half written.
    """

    __slots__ = (
        "_capacity",
        "_no_saves_until_ms",
        "_pending_saves",
        "_tokens_by_key",
        "_used",
        "address",
        "epoch",
        "is_up",
        "next_event",
        "valid_until_ms",
    )

    def __init__(self, address: str, capacity_tokens: int) -> None:
        self.address = address
        self.epoch: int | None = None
        self.next_event = 0
        self.is_up = False
        self.valid_until_ms = math.inf
        self._capacity = capacity_tokens
        self._used = 0
        self._no_saves_until_ms = 0
        self._tokens_by_key: dict[PartKey, int] = {}
        self._pending_saves: dict[PartKey, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._tokens_by_key)

    def apply(self, update: KvUpdate) -> bool:
        """Apply events; return False if a snapshot of the store is needed instead."""
        if self.epoch != update.epoch:
            self._clear()
            self.epoch = update.epoch
        elif update.has_gap and not update.is_snapshot:
            return False
        if update.is_snapshot:
            self._clear()
        self.is_up = True
        for event in update.events:
            self._apply_event(event)
        self.next_event = update.next_event
        return True

    def difference(self, snapshot: KvUpdate) -> KvUpdate:
        """Return the events that lead from the current content to a snapshot.

        An aggregator that missed events publishes these to its listeners, which then
        have no gap.
        """
        held = {event.key: event for event in snapshot.events}
        freed = [KvEvent(key, 0) for key in self._tokens_by_key if key not in held]
        added = [event for key, event in held.items() if key not in self._tokens_by_key]
        return KvUpdate(
            snapshot.epoch, (*freed, *added), snapshot.next_event, since=self.next_event
        )

    def snapshot(self) -> KvUpdate:
        """Return all parts in the index as one update."""
        events = tuple(KvEvent(key, n) for key, n in self._tokens_by_key.items())
        return KvUpdate(self.epoch or 0, events, self.next_event, is_snapshot=True)

    def restart(self, epoch: int, *, no_saves_until_ms: int) -> None:
        """Clear the index, because the store has restarted, and block saves for now.

        Other nodes may not have detected the restart yet, and may still fetch parts
        that they assume to be complete in the store. If such a part were being saved
        again, they would read memory that is only half written.
        """
        self._clear()
        self.epoch = epoch
        self.next_event = 0
        self._no_saves_until_ms = no_saves_until_ms

    def on_unreachable(self) -> None:
        """Record that the store does not answer."""
        self.is_up = False

    def has(self, key: PartKey) -> bool:
        """Return whether a part can be fetched while the content is valid."""
        return self.is_up and key in self._tokens_by_key

    def reserve_save(self, now_ms: int, key: PartKey, tokens: int) -> bool:
        """Return whether a part can be saved here; if so, record it as being saved."""
        if not self.is_up or key in self._tokens_by_key:
            return False
        if now_ms < self._no_saves_until_ms or self.is_saving(now_ms, key):
            return False
        if len(self._pending_saves) > _MAX_PENDING_SAVES:
            self._drop_expired_saves(now_ms)
        pending = sum(size for _, size in self._pending_saves.values())
        if (
            self._used + pending + _round_up_to_blocks(tokens)
            > self._capacity * _MAX_FILL_SHARE
        ):
            self._drop_expired_saves(now_ms)
            return False
        self._pending_saves[key] = now_ms, _round_up_to_blocks(tokens)
        return True

    def is_saving(self, now_ms: int, key: PartKey) -> bool:
        """Return whether this node planned a save here that may still be running."""
        began_ms, _ = self._pending_saves.get(key, (-_SAVE_TIMEOUT_MS, 0))
        return now_ms - began_ms < _SAVE_TIMEOUT_MS

    def _drop_expired_saves(self, now_ms: int) -> None:
        self._pending_saves = {
            key: (began_ms, size)
            for key, (began_ms, size) in self._pending_saves.items()
            if now_ms - began_ms < _SAVE_TIMEOUT_MS
        }

    def keys(self) -> Iterable[PartKey]:
        """Return the keys of all parts."""
        return tuple(self._tokens_by_key)

    def _apply_event(self, event: KvEvent) -> None:
        self._used -= self._tokens_by_key.pop(event.key, 0)
        self._pending_saves.pop(event.key, None)
        if event.tokens > 0:
            tokens = _round_up_to_blocks(event.tokens)
            self._tokens_by_key[event.key] = tokens
            self._used += tokens

    def _clear(self) -> None:
        self._tokens_by_key.clear()
        self._pending_saves.clear()
        self._used = 0


def _round_up_to_blocks(tokens: int) -> int:
    """Return the memory that tokens occupy, in tokens.

    >>> _round_up_to_blocks(17)
    32
    """
    return -(-tokens // _BLOCK_TOKENS) * _BLOCK_TOKENS
