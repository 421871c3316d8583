"""Follows tables of the platform's store through lost history and outages."""

from ._cached_table import RETENTION_MS
from ._follower import FeedFollower, TableUpdate
from ._messages import Changes, HistoryLost, Pace, Snapshot, TableRow
from ._restored_rows import RestoredRowDetector
from ._sharing import SharedTables

__all__ = [
    "RETENTION_MS",
    "Changes",
    "FeedFollower",
    "HistoryLost",
    "Pace",
    "RestoredRowDetector",
    "SharedTables",
    "Snapshot",
    "TableRow",
    "TableUpdate",
]
