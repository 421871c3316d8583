"""Decides which parts of a served prompt should be kept in a store."""

from dataclasses import dataclass

from ._returns import ReuseClass, ReuseStatistics
from ._sketch import FrequencySketch

PIECE_BLOCKS = 4
_MIN_HINTED_REUSES = 3.0
_MIN_REUSES = 0.25
_MIN_SHARED_COUNT = 4
_SKETCH_WIDTH = 1 << 16


@dataclass(frozen=True, slots=True)
class ServedPrompt:
    """A prompt that a replica now has in its cache.

    ``hinted_blocks`` is the number of leading blocks covered by the caller's ``keep``
    hint. ``has_session`` is true if the caller sent a session id. ``kept_blocks`` is
    the number of leading blocks that a store already has according to the index.
    """

    account: str
    block_keys: tuple[str, ...]
    has_session: bool = False
    hinted_blocks: int = 0
    kept_blocks: int = 0


@dataclass(frozen=True, slots=True)
class Piece:
    """Four consecutive blocks of a prompt, transferred and kept as a unit.

    ``key`` is the key of the last block, which also identifies all blocks before it.
    The piece covers ``block_keys[first : first + PIECE_BLOCKS]``.
    """

    key: str
    first: int


@dataclass(frozen=True, slots=True)
class KeepOffer:
    """A piece that is worth keeping.

    ``reuses`` is the estimated number of future uses. Since all pieces have the same
    size, this is also proportional to the uses per byte. ``is_shared`` pieces occurred
    in several prompts and may be written to every store: they are used most, by
    prompts whose other pieces are in different stores.
    """

    piece: Piece
    account: str
    reuses: float
    gap_ms: float
    is_shared: bool


class KeepPolicy:
    """Decides which pieces to export after a prompt was served; does no I/O.

    For a piece that occurred before, the estimate of its future uses is the number of
    its recent repetitions. For a new piece, the estimate is the share of new pieces of
    its class that were used again. Prompts that are likely to be repeated are
    therefore exported before the engine evicts them, and an account that sends every
    prompt only once soon exports nothing.
    """

    __slots__ = ("_sketch", "reuse_statistics")

    def __init__(self, *, sketch_width: int = _SKETCH_WIDTH) -> None:
        self._sketch = FrequencySketch(sketch_width)
        self.reuse_statistics = ReuseStatistics()

    def on_prompt(self, now_ms: float, prompt: ServedPrompt) -> list[KeepOffer]:
        """Count a prompt's pieces and return those to export, most valuable first.

        Among equally valuable pieces the earlier ones come first, because a block
        cannot be used without the blocks before it.
        """
        offers = []
        tracked: set[ReuseClass] = set()
        pieces = len(prompt.block_keys) // PIECE_BLOCKS
        for index in range(pieces):
            first = index * PIECE_BLOCKS
            key = prompt.block_keys[first + PIECE_BLOCKS - 1]
            kind = ReuseClass(
                prompt.account, prompt.has_session, (pieces - index).bit_length()
            )
            occurrences = self._count(now_ms, kind, key, tracked)
            if first + PIECE_BLOCKS <= prompt.kept_blocks:
                continue
            reuses = (
                float(occurrences - 1)
                if occurrences > 1
                else self.reuse_statistics.rate(kind)
            )
            if first + PIECE_BLOCKS <= prompt.hinted_blocks:
                reuses = max(reuses, _MIN_HINTED_REUSES)
            if reuses < _MIN_REUSES:
                continue
            offers.append(
                KeepOffer(
                    Piece(key, first),
                    prompt.account,
                    reuses,
                    self.reuse_statistics.gap_ms(kind),
                    occurrences >= _MIN_SHARED_COUNT,
                )
            )
        return sorted(offers, key=lambda offer: (-offer.reuses, offer.piece.first))

    def _count(
        self, now_ms: float, kind: ReuseClass, key: str, tracked: set[ReuseClass]
    ) -> int:
        """Count a piece; track the reuse of the first new piece of each class."""
        occurrences = self._sketch.add(key)
        if occurrences > 1:
            self.reuse_statistics.on_repeated(now_ms, kind, key)
        elif kind not in tracked:
            tracked.add(kind)
            self.reuse_statistics.on_first_seen(now_ms, kind, key)
        return occurrences
