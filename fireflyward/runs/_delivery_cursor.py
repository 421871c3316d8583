"""How much of its answer a caller has received, over all attempts of a run."""

import zlib
from dataclasses import dataclass

from fireflyward.upstreams import Piece

from ._messages import Deliver, Mark


@dataclass(frozen=True, slots=True)
class Gap:
    """The piece does not start where the previous one of its stream ended."""


@dataclass(frozen=True, slots=True)
class Diverged:
    """This attempt's text differs from the text that the caller already has."""


class DeliveryCursor:
    """Cuts each attempt's pieces so that the caller receives one continuous answer.

    A new attempt on another replica starts at the first token, and its pieces have
    other sizes, so one of them usually contains the point that the caller has
    reached. Delivering that piece completely would repeat text, and dropping it
    would leave a gap. The piece is therefore cut at the character. This is done only
    if the skipped text has the checksum of the delivered text: otherwise the caller
    would get the start of one answer and the rest of a different one.
    """

    __slots__ = ("_position", "_delivered", "replica")

    def __init__(self, mark: Mark | None = None) -> None:
        self._delivered = mark or Mark("")
        self._position = self._delivered
        self.replica = self._delivered.replica

    def __repr__(self) -> str:
        return f"DeliveryCursor({self._delivered!r})"

    @property
    def tokens(self) -> int:
        return self._delivered.tokens

    def mark(self) -> Mark:
        """Return the point that the caller has reached."""
        delivered = self._delivered
        return Mark(self.replica, delivered.tokens, delivered.chars, delivered.checksum)

    def begin_attempt(self, replica: str) -> None:
        """Start an attempt on ``replica`` at the answer's first token."""
        self.replica = replica
        self._position = Mark(replica)

    def resume_attempt(self, replica: str) -> None:
        """Start an attempt that continues where the caller's text ends."""
        self.replica = replica
        self._position = self._delivered

    def on_piece(self, piece: Piece) -> Deliver | Gap | Diverged | None:
        """Return a piece's new part, or None if the caller already has all of it."""
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
