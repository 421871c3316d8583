"""Where a caller stands in its answer, over all attempts of a run."""

import zlib
from dataclasses import dataclass

from fireflyward.upstreams import Piece

from ._messages import Deliver, Mark


@dataclass(frozen=True, slots=True)
class Gap:
    """The piece does not follow the one before it on its connection."""


@dataclass(frozen=True, slots=True)
class Diverged:
    """This attempt's text is not the text that the caller already has."""


class DeliveryCursor:
    """Cuts each attempt's pieces so that the caller sees one answer.

    A new attempt on another replica starts at the first token and in pieces of
    other sizes, so one of them usually straddles the point that the caller has
    reached. DeliveryCursor whole it repeats text, dropped it leaves a gap. The cut is
    made by characters, and only when the checksum of what is skipped is that of
    what was delivered; a replica that answers differently would leave a seam.
    """

    __slots__ = ("_position", "_delivered", "replica")

    def __init__(self, mark: Mark | None = None) -> None:
        self._delivered = mark or Mark("")
        self._position = self._delivered
        self.replica = self._delivered.replica

    def __repr__(self) -> str:
        return f"Delivered({self._delivered!r})"

    @property
    def tokens(self) -> int:
        return self._delivered.tokens

    def mark(self) -> Mark:
        """Return where the caller stands."""
        delivered = self._delivered
        return Mark(self.replica, delivered.tokens, delivered.chars, delivered.checksum)

    def begin_attempt(self, replica: str) -> None:
        """An attempt starts on ``replica`` at the answer's first token."""
        self.replica = replica
        self._position = Mark(replica)

    def resume_attempt(self, replica: str) -> None:
        """An attempt goes on at the point that the caller has reached."""
        self.replica = replica
        self._position = self._delivered

    def on_piece(self, piece: Piece) -> Deliver | Gap | Diverged | None:
        """Return what of a piece is new; None when the caller has all of it."""
        if piece.offset != self._position.tokens:
            return Gap()
        delivered = self._delivered
        after = self._after(piece)
        if after.tokens < delivered.tokens:
            self._position = after
            return None
        cut = delivered.chars - self._position.chars
        if not 0 <= cut <= len(piece.text):
            return Diverged()
        if _checksum(piece.text[:cut], self._position.checksum) != delivered.checksum:
            return Diverged()
        self._position = after
        if after.tokens == delivered.tokens:
            return None if cut == len(piece.text) else Diverged()
        self._delivered = after
        new_tokens = after.tokens - delivered.tokens
        return Deliver(piece.text[cut:], delivered.tokens, new_tokens, after)

    def _after(self, piece: Piece) -> Mark:
        at = self._position
        return Mark(
            self.replica,
            at.tokens + piece.tokens,
            at.chars + len(piece.text),
            _checksum(piece.text, at.checksum),
        )


def _checksum(text: str, value: int) -> int:
    return zlib.crc32(text.encode(), value)
