"""Finds the route, the service and the client account of each request."""

from ._table import Allowed, RouteTable

__all__ = ["Allowed", "RouteTable"]
