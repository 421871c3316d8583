"""Results of reading a table and its feed of changes."""

from dataclasses import dataclass

from fireflyward.backing import Position

# The source of an answer that no other node gave.
STORE = "store"


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row and the ``position`` of its last write; a deleted row has no value.

    ``is_restored`` says that this node read the same row in an earlier era: the store
    was restored from an older snapshot that contains it. If this node had read a newer
    row for the key, that newer row remains valid.
    """

    key: str
    value: bytes
    position: Position
    is_deleted: bool = False
    is_restored: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table; reading its changes continues at ``position``.

    ``as_of_ms`` and ``source`` have the same meaning as in ``Changes``.
    """

    rows: tuple[TableRow, ...]
    position: Position
    as_of_ms: int | None = None
    source: str = STORE


@dataclass(frozen=True, slots=True)
class Changes:
    """The rows that changed, in order, and the table's position after them.

    ``as_of_ms`` is the time at which the table had this state. It is None if the reader
    can derive that time only from when it sent the call and how long it waited.
    ``source`` is the name of the node that answered, or ``STORE``.
    """

    rows: tuple[TableRow, ...]
    position: Position
    as_of_ms: int | None = None
    source: str = STORE


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a call waits for changes, and the pause after it, in ms."""

    wait_ms: int
    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes; read the full table."""
