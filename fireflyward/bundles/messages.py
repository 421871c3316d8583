"""The messages between nodes that concern bundles."""

from ._bundle_structs import (
    BundleNews,
    ChangesReply,
    ChangesRequest,
    StateReply,
    StateRequest,
    WholeReply,
    WholeRequest,
)
from ._exchange import ANNOUNCEMENT_KIND, CHANGES_KIND, STATE_KIND, WHOLE_KIND

__all__ = [
    "CHANGES_KIND",
    "ANNOUNCEMENT_KIND",
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
