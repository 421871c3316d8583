"""The messages between nodes that concern bundles."""

from ._exchange import (
    CHANGES_KIND,
    NEWS_KIND,
    STATE_KIND,
    WHOLE_KIND,
    BundleNews,
    ChangesReply,
    ChangesRequest,
    StateReply,
    StateRequest,
    WholeReply,
    WholeRequest,
)

__all__ = [
    "CHANGES_KIND",
    "NEWS_KIND",
    "STATE_KIND",
    "WHOLE_KIND",
    "BundleNews",
    "ChangesReply",
    "ChangesRequest",
    "StateReply",
    "StateRequest",
    "WholeReply",
    "WholeRequest",
]
