"""Following a table of the platform's store, through gaps and outages."""

from ._follower import FeedFollower, Followed
from ._messages import Changes, HistoryLost, Pace, Snapshot, TableRow
from ._sharing import SharedTables

__all__ = [
    "Changes",
    "FeedFollower",
    "Followed",
    "HistoryLost",
    "Pace",
    "SharedTables",
    "Snapshot",
    "TableRow",
]
