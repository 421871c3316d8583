"""A simulated store VM on the replay's clock: its space, its disk and its link."""

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

_LISTING_DELAY_MS = 1_000.0


class ReplayStore:
    """Transfers pieces in order of request, at the rates of the link and the disk.

    A store with ``is_silent`` accepts all calls, but never answers. ``published``
    contains the keys in the store's listing, which is one second out of date.
    """

    __slots__ = (
        "_clock",
        "_disk_free_ms",
        "_link_free_ms",
        "_shape",
        "is_silent",
        "link_bytes",
        "name",
        "published",
        "space",
    )

    def __init__(
        self, name: str, shape: DeploymentShape, clock: EventClock, seed: int
    ) -> None:
        self.name = name
        self.is_silent = False
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
        self, key: str, on_block: Callable[[], None], on_piece: Callable[[bool], None]
    ) -> None:
        """Send a piece, and call ``on_piece`` with whether the store still had it.

        ``on_block`` is called as each of its blocks arrives.
        """
        if self.is_silent:
            return
        tier = self.space.tier(key)
        if tier is None:
            self._clock.call_in(2 * self._shape.one_way_ms, lambda: on_piece(False))
            return
        ready_ms = self._clock.exact_ms + self._shape.one_way_ms
        if tier is Tier.DISK:
            ready_ms = self._read_from_disk(ready_ms)
        self.space.touch(self._clock.exact_ms, key, is_read=True)
        transfer_ms = self._transfer(ready_ms, lambda: on_piece(True))
        for remaining in range(PIECE_BLOCKS):
            at_ms = self._link_free_ms - transfer_ms * remaining / PIECE_BLOCKS
            self._clock.call_at(at_ms + self._shape.one_way_ms, on_block)

    def write(self, offer: KeepOffer, on_done: Callable[[], None]) -> None:
        """Store a piece if there is space for it.

        ``on_done`` is called when the piece has been written or rejected.
        """
        if self.is_silent:
            return
        result = self.space.offer(self._clock.exact_ms, offer)
        if not isinstance(result, Admit):
            self._clock.call_in(2 * self._shape.one_way_ms, on_done)
            return
        for key in result.evicted:
            self._publish_later(key, is_kept=False)
        key = offer.piece.key
        self._transfer(
            self._clock.exact_ms + self._shape.one_way_ms,
            lambda: self._on_written(key, on_done),
        )

    def _on_written(self, key: str, on_done: Callable[[], None]) -> None:
        self._publish_later(key, is_kept=True)
        on_done()

    def _publish_later(self, key: str, *, is_kept: bool) -> None:
        change = self.published.add if is_kept else self.published.discard
        self._clock.call_in(_LISTING_DELAY_MS, lambda: change(key))

    def _read_from_disk(self, ready_ms: float) -> float:
        read_ms = self._piece_bytes() / self._shape.store.disk_bytes_per_ms
        self._disk_free_ms = max(ready_ms, self._disk_free_ms) + read_ms
        return self._disk_free_ms

    def _transfer(self, ready_ms: float, on_transferred: Callable[[], None]) -> float:
        """Transfer a piece over the link, and return how long it occupies the link.

        Pieces use the link in the order in which they were requested; a piece that
        is still being read from disk delays those after it.
        """
        transfer_ms = self._piece_bytes() / self._shape.store.link_bytes_per_ms
        self._link_free_ms = max(ready_ms, self._link_free_ms) + transfer_ms
        self.link_bytes += self._piece_bytes()
        self._clock.call_at(self._link_free_ms + self._shape.one_way_ms, on_transferred)
        return transfer_ms

    def _piece_bytes(self) -> int:
        return PIECE_BLOCKS * self._shape.block_bytes
