"""Chooses the replica that serves a run, and collects the loads for the choice."""

from ._affinity import PrefixAffinity, PrefixRecord, rendezvous_order
from ._candidate import Candidate, RunShape
from ._estimate import FirstTokenEstimate, QueueEstimate
from ._load_codec import LoadCodec, LoadEntry, LoadNews
from ._load_sharing import (
    LoadSharing,
    Poll,
    Send,
    SharingAction,
    WatchedReplica,
    watch_list,
)
from ._router import Router

__all__ = [
    "Candidate",
    "FirstTokenEstimate",
    "LoadCodec",
    "LoadEntry",
    "LoadNews",
    "LoadSharing",
    "Poll",
    "PrefixAffinity",
    "PrefixRecord",
    "QueueEstimate",
    "Router",
    "RunShape",
    "Send",
    "SharingAction",
    "WatchedReplica",
    "rendezvous_order",
    "watch_list",
]
