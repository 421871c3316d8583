"""Which way of serving a prompt gives its first token soonest, and what to keep."""

from ._plans import (
    Estimate,
    Import,
    KnownPrefixes,
    Plan,
    Recompute,
    Reuse,
    StoredRun,
    Tier,
)
from ._watch import ImportWatch

__all__ = [
    "Estimate",
    "Import",
    "ImportWatch",
    "KnownPrefixes",
    "Plan",
    "Recompute",
    "Reuse",
    "StoredRun",
    "Tier",
]
