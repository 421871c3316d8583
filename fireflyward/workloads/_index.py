"""What nodes know of caches and stores in the replay."""

import random
from collections.abc import Iterable

from fireflyward.placement import PIECE_BLOCKS, PrefixLocations, StoredRun, Tier
from fireflyward.routing import RunShape
from fireflyward.upstreams import CacheChange

from ._engine import ReplayEngine
from ._events import EventClock
from ._store import ReplayStore

_EVENT_LAG_MS = 300.0
_LOST_EVENTS = 0.01
_RESYNC_MS = 10_000.0


class ReplayIndex:
    """Follows cache events that come late; one in a hundred is lost at first.

    A gap in the events' sequence shows a loss, and reading them again mends it ten
    seconds later.
    """

    __slots__ = ("_clock", "_held", "_random", "_seen", "_stores")

    def __init__(
        self, clock: EventClock, stores: Iterable[ReplayStore], seed: int
    ) -> None:
        self._clock = clock
        self._stores = tuple(stores)
        self._held: dict[str, set[str]] = {}
        self._seen: dict[str, int] = {}
        self._random = random.Random(seed)

    def on_changed(self, engine: ReplayEngine) -> None:
        """Read an engine's events after the usual lag."""
        events = engine.model.cache.events(self._seen.get(engine.name, 0))
        self._seen[engine.name] = events.newest
        told = [e for e in events.events if self._random.random() >= _LOST_EVENTS]
        self._clock.call_in(_EVENT_LAG_MS, lambda: self._apply(engine.name, told))
        if len(told) < len(events.events):
            self._clock.call_in(_RESYNC_MS, lambda: self._resync(engine))

    def locate(self, now_ms: float, shape: RunShape) -> PrefixLocations:
        """Return what is known of a prompt."""
        keys = shape.block_keys
        held = {name: _prefix(keys, known) for name, known in self._held.items()}
        stored = [run for store in self._stores for run in _runs(store, keys)]
        return PrefixLocations(held, tuple(stored))

    def _resync(self, engine: ReplayEngine) -> None:
        self._held[engine.name] = set(engine.model.cache.keys())

    def _apply(self, name: str, events: list) -> None:
        held = self._held.setdefault(name, set())
        for event in events:
            if event.change is CacheChange.STORED:
                held.add(event.key)
            else:
                held.discard(event.key)


def _prefix(keys: tuple[str, ...], known: set[str]) -> int:
    """Return a length of prefix whose last block is known and whose next is not."""
    low, high = 0, len(keys)
    while low < high:
        middle = (low + high + 1) // 2
        if keys[middle - 1] in known:
            low = middle
        else:
            high = middle - 1
    return low


def _runs(store: ReplayStore, keys: tuple[str, ...]) -> list[StoredRun]:
    """Return the consecutive pieces that a store lists."""
    runs = []
    began: int | None = None
    on_disk = 0
    for first in range(0, len(keys) - PIECE_BLOCKS + 1, PIECE_BLOCKS):
        key = keys[first + PIECE_BLOCKS - 1]
        if key in store.published:
            began = first if began is None else began
            on_disk += store.space.tier(key) is Tier.DISK
        elif began is not None:
            runs.append(_run(store.name, began, first, on_disk))
            began, on_disk = None, 0
    if began is not None:
        end = len(keys) // PIECE_BLOCKS * PIECE_BLOCKS
        runs.append(_run(store.name, began, end, on_disk))
    return runs


def _run(store: str, first: int, end: int, pieces_on_disk: int) -> StoredRun:
    blocks = end - first
    mostly_disk = 2 * pieces_on_disk * PIECE_BLOCKS > blocks
    return StoredRun(store, first, blocks, Tier.DISK if mostly_disk else Tier.MEMORY)
