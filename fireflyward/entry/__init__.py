"""What callers meet: the HTTP interface of an entry VM."""

from ._app import build_app
from ._context import EntryParts
from ._in_flight import Flight, InFlight

__all__ = ["EntryParts", "Flight", "InFlight", "build_app"]
