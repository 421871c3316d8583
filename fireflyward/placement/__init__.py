"""Chooses the fastest way to serve a prompt, and which of its blocks to keep."""

from ._budget import BudgetAction, Dropped, Grant, LinkBudget, Transfer, Urgency
from ._keep import PIECE_BLOCKS, KeepOffer, KeepPolicy, Piece, ServedPrompt
from ._placement import Placement, PlacementCosts, PrefixIndex
from ._plans import (
    Estimate,
    Import,
    Plan,
    PrefixLocations,
    Recompute,
    Reuse,
    StoredRun,
    Tier,
)
from ._rates import LinkRates
from ._returns import ReuseClass, ReuseStatistics
from ._sketch import FrequencySketch
from ._space import Admit, Decline, StoreSpace
from ._spread import anchor_key, assign_stores, preferred_store
from ._watch import ImportWatch

__all__ = [
    "PIECE_BLOCKS",
    "Admit",
    "BudgetAction",
    "Decline",
    "Dropped",
    "Estimate",
    "FrequencySketch",
    "Grant",
    "Import",
    "ImportWatch",
    "KeepOffer",
    "KeepPolicy",
    "PrefixLocations",
    "LinkBudget",
    "LinkRates",
    "Piece",
    "Placement",
    "PlacementCosts",
    "Plan",
    "PrefixIndex",
    "ServedPrompt",
    "Recompute",
    "ReuseClass",
    "ReuseStatistics",
    "Reuse",
    "StoreSpace",
    "StoredRun",
    "Tier",
    "Transfer",
    "Urgency",
    "anchor_key",
    "preferred_store",
    "assign_stores",
]
