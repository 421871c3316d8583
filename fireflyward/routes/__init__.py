"""Which route a request takes, and for which client account."""

from ._table import Allowed, RouteTable

__all__ = ["Allowed", "RouteTable"]
