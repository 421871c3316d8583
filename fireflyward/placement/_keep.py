"""Which parts of a served prompt are worth a place in a store."""

from dataclasses import dataclass

from ._returns import ReturnClass, ReturnTimes
from ._sketch import FrequencySketch

PIECE_BLOCKS = 4
_HINTED_REUSES = 3.0
_LEAST_REUSES = 0.25
_SHARED_FROM = 4
_SKETCH_WIDTH = 1 << 16


@dataclass(frozen=True, slots=True)
class ServedPrompt:
    """A prompt that a replica has in its cache now.

    ``hinted_blocks`` leading blocks were named by the caller's ``keep`` hint;
    ``has_session`` says that the caller gave a session id. ``kept_blocks`` leading
    blocks are in a store already, as far as the index knows.
    """

    account: str
    block_keys: tuple[str, ...]
    has_session: bool = False
    hinted_blocks: int = 0
    kept_blocks: int = 0


@dataclass(frozen=True, slots=True)
class Piece:
    """Four consecutive blocks of a prompt, moved and kept as one.

    ``key`` is the key of the last block, which names all before it, too; the piece
    covers ``block_keys[first : first + PIECE_BLOCKS]``.
    """

    key: str
    first: int


@dataclass(frozen=True, slots=True)
class KeepOffer:
    """A piece that is worth keeping.

    ``reuses`` is how often it is expected to be asked for again; since all pieces
    are of one size, it is the expected reuse per byte, too. ``is_shared`` pieces
    were in several prompts and may go to every store: they are asked for most, by
    prompts whose other pieces lie in different stores.
    """

    piece: Piece
    account: str
    reuses: float
    gap_ms: float
    is_shared: bool


class KeepPolicy:
    """Decides what to export after a prompt was served, without I/O.

    A piece that was seen before is expected again as often as it was seen lately.
    A new one is expected as often as new pieces of its class turned out to return;
    so a prompt that will return is exported before the engine evicts it, and an
    account that sends every prompt once soon exports nothing.
    """

    __slots__ = ("_sketch", "returns")

    def __init__(self, *, sketch_width: int = _SKETCH_WIDTH) -> None:
        self._sketch = FrequencySketch(sketch_width)
        self.returns = ReturnTimes()

    def on_prompt(self, now_ms: float, prompt: ServedPrompt) -> list[KeepOffer]:
        """Count a prompt's pieces and return those to export, best first.

        Of equal ones the earlier comes first, since a block is of no use without
        those before it.
        """
        offers = []
        watched: set[ReturnClass] = set()
        pieces = len(prompt.block_keys) // PIECE_BLOCKS
        for index in range(pieces):
            first = index * PIECE_BLOCKS
            key = prompt.block_keys[first + PIECE_BLOCKS - 1]
            kind = ReturnClass(
                prompt.account, prompt.has_session, (pieces - index).bit_length()
            )
            seen = self._count(now_ms, kind, key, watched)
            if first + PIECE_BLOCKS <= prompt.kept_blocks:
                continue
            reuses = float(seen - 1) if seen > 1 else self.returns.rate(kind)
            if first + PIECE_BLOCKS <= prompt.hinted_blocks:
                reuses = max(reuses, _HINTED_REUSES)
            if reuses < _LEAST_REUSES:
                continue
            offers.append(
                KeepOffer(
                    Piece(key, first),
                    prompt.account,
                    reuses,
                    self.returns.gap_ms(kind),
                    seen >= _SHARED_FROM,
                )
            )
        return sorted(offers, key=lambda offer: (-offer.reuses, offer.piece.first))

    def _count(
        self, now_ms: float, kind: ReturnClass, key: str, watched: set[ReturnClass]
    ) -> int:
        """Count a piece; of new ones watch the first of each class for its return."""
        seen = self._sketch.add(key)
        if seen > 1:
            self.returns.on_again(now_ms, kind, key)
        elif kind not in watched:
            watched.add(kind)
            self.returns.on_first(now_ms, kind, key)
        return seen
