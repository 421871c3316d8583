"""Following a table of the platform's store, through gaps and outages."""

from ._follower import FeedFollower, Followed
from ._messages import Changes, HistoryLost, Pace, Snapshot, TableRow
from ._seen_rows import SeenRows
from ._sharing import SharedTables

__all__ = [
    "Changes",
    "FeedFollower",
    "Followed",
    "HistoryLost",
    "Pace",
    "SeenRows",
    "SharedTables",
    "Snapshot",
    "TableRow",
]
