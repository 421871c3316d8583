"""What a table's feed gives."""

from dataclasses import dataclass

from fireflyward.backing import Position


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row, written at ``position``; a deleted one has no value.

    With ``is_restored`` it was known in an earlier era: the store came back from a copy
    that has it, and what was known to come after it holds.
    """

    key: str
    value: bytes
    position: Position
    is_deleted: bool = False
    is_restored: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table; ``position`` is where its feed is read on from.

    ``as_of_ms`` is as in ``Changes``.
    """

    rows: tuple[TableRow, ...]
    position: Position
    as_of_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """The rows that changed, in order, and the position that they lead to.

    ``as_of_ms`` is the moment at which the table stood like this, where the reader
    knows it better than by when it asked and how long it waited.
    """

    rows: tuple[TableRow, ...]
    position: Position
    as_of_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a call waits for changes, and the pause after it, in ms."""

    wait_ms: int
    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes asked for; read everything anew."""
