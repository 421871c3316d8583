"""Following a table of the platform's store, through gaps and outages."""

from ._cached_table import RETENTION_MS
from ._follower import FeedFollower, TableUpdate
from ._messages import Changes, HistoryLost, Pace, Snapshot, TableRow
from ._seen_rows import SeenRows
from ._sharing import SharedTables

__all__ = [
    "RETENTION_MS",
    "Changes",
    "FeedFollower",
    "TableUpdate",
    "HistoryLost",
    "Pace",
    "SeenRows",
    "SharedTables",
    "Snapshot",
    "TableRow",
]
