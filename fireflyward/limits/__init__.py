"""How much of each client account's work runs at once."""

from ._admission import Admission

__all__ = ["Admission"]
