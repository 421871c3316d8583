"""The HTTP interface of an entry VM, which callers use."""

from ._app import build_app
from ._context import EntryContext
from ._in_flight import InFlightRequest, InFlightRequests

__all__ = ["EntryContext", "InFlightRequest", "InFlightRequests", "build_app"]
