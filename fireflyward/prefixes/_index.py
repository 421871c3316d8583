"""What one store of KV cache holds, by its own events."""

from collections.abc import Iterable
from dataclasses import dataclass

# Stores give out room in blocks of this many tokens.
_BLOCK_TOKENS = 16
# Beyond this a store is taken to be full; the rest is for what other nodes save there
# at this moment.
_FULL_SHARE = 0.985
# A save that has not shown up after this long is taken to be lost.
_SAVING_MS = 4_000
_MOST_SAVING = 500


@dataclass(frozen=True, slots=True)
class PartKey:
    """One part of a prompt under one salt."""

    salt: str
    part_id: str


@dataclass(frozen=True, slots=True)
class KvEvent:
    """A part that is whole in the store now, or was freed (``tokens`` is 0)."""

    key: PartKey
    tokens: int


@dataclass(frozen=True, slots=True)
class KvUpdate:
    """Events of one life of a store; ``is_snapshot`` when they are all it holds.

    They come after the event ``since``; ``next_event`` is the ``since`` of the next.
    """

    epoch: int
    events: tuple[KvEvent, ...]
    next_event: int
    since: int = 0
    is_snapshot: bool = False
    has_gap: bool = False


class StoreIndex:
    """The parts that may be fetched from one store; no I/O.

    Only parts that the store has reported as whole count. One that is still being
    written reads as garbage, and the store checks nothing. A store that restarted
    is empty, so its index is too; one that does not answer is not fetched from,
    because each fetch from a dead store costs the caller some hundred ms.
    """

    __slots__ = (
        "_capacity",
        "_no_saves_until_ms",
        "_saving_by_key",
        "_tokens_by_key",
        "_used",
        "address",
        "epoch",
        "is_up",
        "next_event",
    )

    def __init__(self, address: str, capacity_tokens: int) -> None:
        self.address = address
        self.epoch: int | None = None
        self.next_event = 0
        self.is_up = False
        self._capacity = capacity_tokens
        self._used = 0
        self._no_saves_until_ms = 0
        self._tokens_by_key: dict[PartKey, int] = {}
        self._saving_by_key: dict[PartKey, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._tokens_by_key)

    def take(self, news: KvUpdate) -> bool:
        """Take events; return False when everything must be read anew."""
        if self.epoch != news.epoch:
            self._clear()
            self.epoch = news.epoch
        elif news.has_gap and not news.is_snapshot:
            return False
        if news.is_snapshot:
            self._clear()
        self.is_up = True
        self.next_event = news.next_event
        for event in news.events:
            self._apply(event)
        return True

    def difference(self, whole: KvUpdate) -> KvUpdate:
        """Return the events that lead from what is known here to a whole list.

        Whoever follows this node misses nothing then, although it missed events.
        """
        held = {event.key: event for event in whole.events}
        freed = [KvEvent(key, 0) for key in self._tokens_by_key if key not in held]
        made = [event for key, event in held.items() if key not in self._tokens_by_key]
        return KvUpdate(
            whole.epoch, (*freed, *made), whole.next_event, since=self.next_event
        )

    def whole(self) -> KvUpdate:
        """Return all that is known to be there."""
        events = tuple(KvEvent(key, n) for key, n in self._tokens_by_key.items())
        return KvUpdate(self.epoch or 0, events, self.next_event, is_snapshot=True)

    def restart(self, epoch: int, *, no_saves_until_ms: int) -> None:
        """Take word that the store is in a new life, and empty; save nothing yet.

        Other nodes may not have seen the restart yet and still fetch what they
        believe to be whole there; a part that was being saved anew would give
        them memory that is only half written.
        """
        self._clear()
        self.epoch = epoch
        self.next_event = 0
        self._no_saves_until_ms = no_saves_until_ms

    def on_silence(self) -> None:
        """Note that the store does not answer."""
        self.is_up = False

    def has(self, key: PartKey) -> bool:
        """Tell whether a part can be fetched now."""
        return self.is_up and key in self._tokens_by_key

    def may_save(self, now_ms: int, key: PartKey, tokens: int) -> bool:
        """Tell whether a part can be saved here, and note that it will be."""
        if not self.is_up or key in self._tokens_by_key:
            return False
        if now_ms < self._no_saves_until_ms or self.is_saving(now_ms, key):
            return False
        if len(self._saving_by_key) > _MOST_SAVING:
            self._forget_lost_saves(now_ms)
        saving = sum(size for _, size in self._saving_by_key.values())
        if self._used + saving + _in_blocks(tokens) > self._capacity * _FULL_SHARE:
            self._forget_lost_saves(now_ms)
            return False
        self._saving_by_key[key] = now_ms, _in_blocks(tokens)
        return True

    def is_saving(self, now_ms: int, key: PartKey) -> bool:
        """Tell whether this node had a part saved here a moment ago."""
        began_ms, _ = self._saving_by_key.get(key, (-_SAVING_MS, 0))
        return now_ms - began_ms < _SAVING_MS

    def _forget_lost_saves(self, now_ms: int) -> None:
        self._saving_by_key = {
            key: (began_ms, size)
            for key, (began_ms, size) in self._saving_by_key.items()
            if now_ms - began_ms < _SAVING_MS
        }

    def keys(self) -> Iterable[PartKey]:
        """Return the keys of all parts."""
        return tuple(self._tokens_by_key)

    def _apply(self, event: KvEvent) -> None:
        self._used -= self._tokens_by_key.pop(event.key, 0)
        self._saving_by_key.pop(event.key, None)
        if event.tokens > 0:
            tokens = _in_blocks(event.tokens)
            self._tokens_by_key[event.key] = tokens
            self._used += tokens

    def _clear(self) -> None:
        self._tokens_by_key.clear()
        self._saving_by_key.clear()
        self._used = 0


def _in_blocks(tokens: int) -> int:
    """Return the room that tokens take.

    >>> _in_blocks(17)
    32
    """
    return -(-tokens // _BLOCK_TOKENS) * _BLOCK_TOKENS
