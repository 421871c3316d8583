"""What callers meet: the HTTP interface of an entry VM."""

from ._app import build_app
from ._in_flight import Flight, InFlight
from ._parts import EntryParts

__all__ = ["EntryParts", "Flight", "InFlight", "build_app"]
