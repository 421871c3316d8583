"""Following a table of the platform's store, through gaps and outages."""

from ._follower import FeedFollower, Followed
from ._messages import Changes, HistoryLost, Snapshot, TableRow

__all__ = [
    "Changes",
    "FeedFollower",
    "Followed",
    "HistoryLost",
    "Snapshot",
    "TableRow",
]
