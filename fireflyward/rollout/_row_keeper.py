"""The rollout's row as the driver keeps it: one write at a time, none lost."""

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


class RowKeeper:
    """Knows the row, its version, and the write whose effect is not known yet.

    ``row`` is None until it was read. A write names the version that it follows,
    so of two drivers that both believe at most one moves the row on, and what a
    paused one had sent finds another version.
    """

    __slots__ = ("_is_away", "_pending", "_version", "row")

    def __init__(self) -> None:
        self.row: RolloutRow | None = None
        self._version = 0
        self._pending: _Pending | None = None
        self._is_away = False

    def __repr__(self) -> str:
        return f"RowKeeper({self.row!r})"

    @property
    def is_settled(self) -> bool:
        """Tell whether the row is known and no write is under way."""
        return self.row is not None and self._pending is None

    @property
    def may_write(self) -> bool:
        """Tell whether a write may go out: one at a time, and one a tick to a
        table that is away, which would be asked without a pause otherwise.
        """
        return self.is_settled and not self._is_away

    @property
    def next_version(self) -> int:
        """Return the version that the next write will have."""
        return self._version + 1

    def write(self, row: RolloutRow, step: RolloutStep) -> WriteRow:
        """Return the write of ``row`` after the known one."""
        self._pending = _Pending(WriteRow(self._version, row, step))
        return self._pending.write

    def on_tick(self) -> list[ReadRow]:
        """Ask for the row if it is not known, or a write's effect is in doubt."""
        self._is_away = False
        if self._pending and not self._pending.in_doubt:
            return []
        if self._pending:
            self._pending.may_resend = True
        return [] if self.is_settled else [ReadRow()]

    def on_answer(
        self, result: Committed | Conflict | Unavailable | Uncertain
    ) -> WriteRow | ReadRow | None:
        """Take a write's answer; return the write if it took effect."""
        if self._pending is None:
            return None
        if isinstance(result, Committed):
            (version,) = result.version_by_key.values()
            return self._accept(version)
        self._is_away = isinstance(result, Unavailable)
        if self._is_away and not self._pending.in_doubt:
            self._pending = None
            return None
        self._pending.in_doubt = True
        return None if self._is_away else ReadRow()

    def on_row(self, result: Row | Missing | Unavailable) -> WriteRow | None:
        """Take the row as read; return a write that it shows to have taken effect,
        or one to send again, which ``is_settled`` tells apart.
        """
        if isinstance(result, Unavailable):
            return None
        is_row = isinstance(result, Row)
        row = decode_row(result.value) if is_row else RolloutRow()
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
