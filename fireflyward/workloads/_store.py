"""A store VM on the replay's clock: its space, its disk and its link."""

from collections.abc import Callable

from fireflyward.placement import (
    PIECE_BLOCKS,
    Admit,
    KeepOffer,
    StoreSpace,
    Tier,
)

from ._events import EventClock
from ._shape import DeploymentShape

_LISTING_LAG_MS = 1_000.0


class ReplayStore:
    """Moves pieces first come, first served, at the link's and the disk's rates.

    A store that is dead takes everything and answers nothing. ``published`` is
    what the listings say, a second late.
    """

    __slots__ = (
        "_clock",
        "_disk_free_ms",
        "_link_free_ms",
        "_shape",
        "is_dead",
        "link_bytes",
        "name",
        "published",
        "space",
    )

    def __init__(
        self, name: str, shape: DeploymentShape, clock: EventClock, seed: int
    ) -> None:
        self.name = name
        self.is_dead = False
        self.link_bytes = 0
        self.published: set[str] = set()
        self.space = StoreSpace(
            memory_pieces=shape.store.memory_blocks // PIECE_BLOCKS,
            disk_pieces=shape.store.disk_blocks // PIECE_BLOCKS,
            seed=seed,
        )
        self._shape = shape
        self._clock = clock
        self._link_free_ms = 0.0
        self._disk_free_ms = 0.0

    def read(
        self, key: str, block: Callable[[], None], arrived: Callable[[bool], None]
    ) -> None:
        """Send a piece; ``arrived`` is told whether the store still had it.

        ``block`` is called for each of its blocks as it comes.
        """
        if self.is_dead:
            return
        tier = self.space.tier(key)
        if tier is None:
            self._clock.call_in(2 * self._shape.one_way_ms, lambda: arrived(False))
            return
        ready_ms = self._clock.exact_ms + self._shape.one_way_ms
        if tier is Tier.DISK:
            ready_ms = self._from_disk(ready_ms)
        self.space.touch(self._clock.exact_ms, key, is_read=True)
        took_ms = self._move(ready_ms, lambda: arrived(True))
        for left in range(PIECE_BLOCKS):
            at_ms = self._link_free_ms - took_ms * left / PIECE_BLOCKS
            self._clock.call_at(at_ms + self._shape.one_way_ms, block)

    def write(self, offer: KeepOffer, done: Callable[[], None]) -> None:
        """Take a piece if there is room for it; ``done`` when it is published."""
        if self.is_dead:
            return
        result = self.space.offer(self._clock.exact_ms, offer)
        if not isinstance(result, Admit):
            self._clock.call_in(2 * self._shape.one_way_ms, done)
            return
        for key in result.evicted:
            self._list_later(key, is_kept=False)
        key = offer.piece.key
        self._move(
            self._clock.exact_ms + self._shape.one_way_ms,
            lambda: self._written(key, done),
        )

    def _written(self, key: str, done: Callable[[], None]) -> None:
        self._list_later(key, is_kept=True)
        done()

    def _list_later(self, key: str, *, is_kept: bool) -> None:
        change = self.published.add if is_kept else self.published.discard
        self._clock.call_in(_LISTING_LAG_MS, lambda: change(key))

    def _from_disk(self, ready_ms: float) -> float:
        took_ms = self._piece_bytes() / self._shape.store.disk_bytes_per_ms
        self._disk_free_ms = max(ready_ms, self._disk_free_ms) + took_ms
        return self._disk_free_ms

    def _move(self, ready_ms: float, moved: Callable[[], None]) -> float:
        """Pass a piece over the link and return how long it has the link.

        The link is given to pieces in the order in which they are asked for; one
        that still comes from the disk holds it up.
        """
        took_ms = self._piece_bytes() / self._shape.store.link_bytes_per_ms
        self._link_free_ms = max(ready_ms, self._link_free_ms) + took_ms
        self.link_bytes += self._piece_bytes()
        self._clock.call_at(self._link_free_ms + self._shape.one_way_ms, moved)
        return took_ms

    def _piece_bytes(self) -> int:
        return PIECE_BLOCKS * self._shape.block_bytes
