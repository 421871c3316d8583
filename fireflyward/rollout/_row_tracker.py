"""Tracks the rollout's row in the table: one write at a time, none lost."""

from dataclasses import dataclass

from fireflyward.backing import (
    Committed,
    Conflict,
    Missing,
    Row,
    Unavailable,
    Uncertain,
)

from ._messages import ReadRow, WriteRow
from ._row import RolloutRow, decode_row
from ._steps import RolloutStep


@dataclass(slots=True)
class _Pending:
    write: WriteRow
    in_doubt: bool = False
    may_resend: bool = False


class RowTracker:
    """Holds the row, its version, and the write whose effect is not known yet.

    ``row`` is None until it was read. A write contains the version that it replaces.
    So when two processes both assume that they hold the lease, the write of at most
    one takes effect, and the late write of a paused driver finds another version.
    """

    __slots__ = ("_is_unavailable", "_pending", "_version", "row")

    def __init__(self) -> None:
        self.row: RolloutRow | None = None
        self._version = 0
        self._pending: _Pending | None = None
        self._is_unavailable = False

    def __repr__(self) -> str:
        return f"RowTracker({self.row!r})"

    @property
    def is_settled(self) -> bool:
        """Return whether the row is known and no write is pending."""
        return self.row is not None and self._pending is None

    @property
    def may_write(self) -> bool:
        """Return whether a write may be sent.

        Only one write is pending at a time. While the table is unavailable, at most
        one write is sent per tick, since the retries would otherwise never pause.
        """
        return self.is_settled and not self._is_unavailable

    @property
    def next_version(self) -> int:
        """Return the version that the next write will create."""
        return self._version + 1

    def write(self, row: RolloutRow, step: RolloutStep) -> WriteRow:
        """Return the write that replaces the last known row by ``row``."""
        self._pending = _Pending(WriteRow(self._version, row, step))
        return self._pending.write

    def on_tick(self) -> list[ReadRow]:
        """Request the row if it is not known or the effect of a write is in doubt."""
        self._is_unavailable = False
        if self._pending and not self._pending.in_doubt:
            return []
        if self._pending:
            self._pending.may_resend = True
        return [] if self.is_settled else [ReadRow()]

    def on_answer(
        self, result: Committed | Conflict | Unavailable | Uncertain
    ) -> WriteRow | ReadRow | None:
        """Process a write's answer; return the write if it took effect.

        Returns a read of the row if the answer leaves the effect in doubt.
        """
        if self._pending is None:
            return None
        if isinstance(result, Committed):
            (version,) = result.version_by_key.values()
            return self._accept(version)
        self._is_unavailable = isinstance(result, Unavailable)
        if self._is_unavailable and not self._pending.in_doubt:
            self._pending = None
            return None
        self._pending.in_doubt = True
        return None if self._is_unavailable else ReadRow()

    def on_row(self, result: Row | Missing | Unavailable) -> WriteRow | None:
        """Process the row as read.

        Returns a write that has taken effect according to the row, or a write to
        resend. ``is_settled`` is true only after the former.
        """
        if isinstance(result, Unavailable):
            return None
        is_row = isinstance(result, Row)
        row = decode_row(result.value) if is_row else RolloutRow()
        if row is None:
            return None
        version = result.version if is_row else 0
        pending = self._pending
        if pending is None:
            self.row, self._version = row, version
            return None
        if version > pending.write.expected and row == pending.write.row:
            return self._accept(version)
        if version == pending.write.expected:
            resend = pending.may_resend
            pending.may_resend = False
            return pending.write if resend else None
        self._pending = None
        self.row, self._version = row, version
        return None

    def _accept(self, version: int) -> WriteRow:
        write = self._pending.write
        self._pending = None
        self.row, self._version = write.row, version
        return write
