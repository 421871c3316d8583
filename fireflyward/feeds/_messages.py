"""What a table's feed gives."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row as of ``version``; a deleted one has no value."""

    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table; ``version`` is where its feed is read on from.

    ``as_of_ms`` is as in ``Changes``.
    """

    rows: tuple[TableRow, ...]
    version: int
    as_of_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """The rows that changed, in order, and the version that they lead to.

    ``as_of_ms`` is the moment at which the table stood like this, where the reader
    knows it better than by when it asked and how long it waited.
    """

    rows: tuple[TableRow, ...]
    version: int
    as_of_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a call waits for changes, and the pause after it, in ms."""

    wait_ms: int
    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes asked for; read everything anew."""
