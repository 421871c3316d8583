"""The nodes' index of cached and stored blocks in the replay."""

import random
from collections.abc import Iterable

from fireflyward.placement import PIECE_BLOCKS, PrefixLocations, StoredRun, Tier
from fireflyward.routing import RunShape
from fireflyward.upstreams import CacheChange

from ._engine import ReplayEngine
from ._events import EventClock
from ._store import ReplayStore

_EVENT_DELAY_MS = 300.0
_EVENT_LOSS_SHARE = 0.01
_RESYNC_MS = 10_000.0


class ReplayIndex:
    """Updates its state from cache events that arrive with a delay.

    One event in a hundred is lost. A gap in the sequence numbers shows the loss, and
    ten seconds after it the index reads the engine's full state.
    """

    __slots__ = (
        "_clock",
        "_keys_by_engine",
        "_random",
        "_sequence_by_engine",
        "_stores",
    )

    def __init__(
        self, clock: EventClock, stores: Iterable[ReplayStore], seed: int
    ) -> None:
        self._clock = clock
        self._stores = tuple(stores)
        self._keys_by_engine: dict[str, set[str]] = {}
        self._sequence_by_engine: dict[str, int] = {}
        self._random = random.Random(seed)

    def on_changed(self, engine: ReplayEngine) -> None:
        """Read an engine's new events, and apply them after the usual delay."""
        events = engine.model.cache.events(self._sequence_by_engine.get(engine.name, 0))
        self._sequence_by_engine[engine.name] = events.newest
        received = [
            e for e in events.events if self._random.random() >= _EVENT_LOSS_SHARE
        ]
        self._clock.call_in(_EVENT_DELAY_MS, lambda: self._apply(engine.name, received))
        if len(received) < len(events.events):
            self._clock.call_in(_RESYNC_MS, lambda: self._resync(engine))

    def locate(self, now_ms: float, shape: RunShape) -> PrefixLocations:
        """Return where the index lists a prompt's blocks as cached or stored."""
        keys = shape.block_keys
        cached = {
            name: _prefix_blocks(keys, cached_keys)
            for name, cached_keys in self._keys_by_engine.items()
        }
        stored = [run for store in self._stores for run in _stored_runs(store, keys)]
        return PrefixLocations(cached, tuple(stored))

    def _resync(self, engine: ReplayEngine) -> None:
        self._keys_by_engine[engine.name] = set(engine.model.cache.keys())

    def _apply(self, name: str, events: list) -> None:
        cached = self._keys_by_engine.setdefault(name, set())
        for event in events:
            if event.change is CacheChange.STORED:
                cached.add(event.key)
            else:
                cached.discard(event.key)


def _prefix_blocks(keys: tuple[str, ...], cached_keys: set[str]) -> int:
    """Return a prefix length whose last block is cached and whose next is not.

    It is found by binary search.
    """
    low, high = 0, len(keys)
    while low < high:
        middle = (low + high + 1) // 2
        if keys[middle - 1] in cached_keys:
            low = middle
        else:
            high = middle - 1
    return low


def _stored_runs(store: ReplayStore, keys: tuple[str, ...]) -> list[StoredRun]:
    """Return the runs of consecutive pieces that a store lists."""
    runs = []
    run_start: int | None = None
    on_disk = 0
    for first in range(0, len(keys) - PIECE_BLOCKS + 1, PIECE_BLOCKS):
        key = keys[first + PIECE_BLOCKS - 1]
        if key in store.published:
            run_start = first if run_start is None else run_start
            on_disk += store.space.tier(key) is Tier.DISK
        elif run_start is not None:
            runs.append(_stored_run(store.name, run_start, first, on_disk))
            run_start, on_disk = None, 0
    if run_start is not None:
        end = len(keys) // PIECE_BLOCKS * PIECE_BLOCKS
        runs.append(_stored_run(store.name, run_start, end, on_disk))
    return runs


def _stored_run(store: str, first: int, end: int, pieces_on_disk: int) -> StoredRun:
    blocks = end - first
    mostly_disk = 2 * pieces_on_disk * PIECE_BLOCKS > blocks
    return StoredRun(store, first, blocks, Tier.DISK if mostly_disk else Tier.MEMORY)
